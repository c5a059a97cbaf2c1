package configsync

import (
	"encoding/json"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"heatherloom/internal/control"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/peer/peerv1"
)

// baseCacheTTL is how long an encoded base, 14 MB at the design size, is cached for
// other instances that start at about the same time.
const baseCacheTTL = 10 * time.Second

// PeerSource serves the configuration of this instance to peers that pull it. It implements
// peer.ConfigSource.
type PeerSource struct {
	Loop *control.Loop

	// mu serializes the encoding of a base, which takes 0.25 s at the design size, so that
	// concurrent callers wait for one result.
	mu   sync.Mutex
	base opconfig.Base
}

// Since returns the deltas after revision from if this instance holds them all,
// and the whole configuration otherwise.
func (s *PeerSource) Since(from int64) (*peerv1.PullConfigResponse, error) {
	snapshot := s.Loop.Snapshot()
	config := snapshot.Config
	if from >= config.Revision {
		return &peerv1.PullConfigResponse{Revision: config.Revision}, nil
	}
	if from > 0 && len(snapshot.ConfigDeltas) > 0 && snapshot.ConfigDeltas[0].Revision <= from+1 {
		return deltasResponse(snapshot.ConfigDeltas, from)
	}
	return s.baseResponse(config)
}

func deltasResponse(deltas []opconfig.Delta, from int64) (*peerv1.PullConfigResponse, error) {
	resp := &peerv1.PullConfigResponse{Revision: deltas[len(deltas)-1].Revision}
	for _, d := range deltas {
		if d.Revision <= from {
			continue
		}
		raw, err := json.Marshal(d)
		if err != nil {
			return nil, eris.Wrapf(err, "encode delta of revision %d", d.Revision)
		}
		resp.Deltas = append(resp.Deltas, raw)
	}
	return resp, nil
}

func (s *PeerSource) baseResponse(config *opconfig.Config) (*peerv1.PullConfigResponse, error) {
	base, err := s.encodedBase(config)
	if err != nil {
		return nil, err
	}
	manifest, err := json.Marshal(base.Manifest)
	if err != nil {
		return nil, eris.Wrap(err, "encode manifest")
	}
	return &peerv1.PullConfigResponse{Revision: config.Revision, Base: manifest, BaseShards: base.Shards}, nil
}

func (s *PeerSource) encodedBase(config *opconfig.Config) (opconfig.Base, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.base.Manifest.Revision == config.Revision {
		return s.base, nil
	}
	base, err := config.EncodeBase()
	if err != nil {
		return base, err
	}
	s.base = base
	time.AfterFunc(baseCacheTTL, s.dropBase)
	return base, nil
}

// dropBase releases the encoded base and returns its memory, and that used for encoding
// it, to the operating system.
func (s *PeerSource) dropBase() {
	s.mu.Lock()
	s.base = opconfig.Base{}
	s.mu.Unlock()
	debug.FreeOSMemory()
}

// decodePull returns the configuration that results from a peer's response and the
// deltas in the response. If the response is not newer than current, it returns current.
func decodePull(current *opconfig.Config, resp *peerv1.PullConfigResponse) (*opconfig.Config, []opconfig.Delta, error) {
	if resp.GetRevision() <= current.Revision {
		return current, nil, nil
	}
	if len(resp.GetBase()) > 0 {
		var base opconfig.Base
		if err := json.Unmarshal(resp.GetBase(), &base.Manifest); err != nil {
			return nil, nil, eris.Wrap(err, "decode manifest from peer")
		}
		base.Shards = resp.GetBaseShards()
		config, err := opconfig.DecodeBase(base)
		return config, nil, err
	}
	deltas := make([]opconfig.Delta, 0, len(resp.GetDeltas()))
	for _, raw := range resp.GetDeltas() {
		var delta opconfig.Delta
		if err := json.Unmarshal(raw, &delta); err != nil {
			return nil, nil, eris.Wrap(err, "decode delta from peer")
		}
		deltas = append(deltas, delta)
	}
	config, err := applyAll(current, deltas)
	return config, deltas, err
}
