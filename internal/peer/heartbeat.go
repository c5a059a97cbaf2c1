package peer

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"heatherloom/internal/control"
	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/timeline"
)

const (
	// heartbeatInterval is the time between two heartbeats to one member.
	heartbeatInterval = time.Second
	heartbeatTimeout  = time.Second
)

// Heartbeater announces this instance to its peers and learns of others.
type Heartbeater struct {
	Identity control.Identity
	Loop     *control.Loop
	Client   *Client
	// Seeds returns peer addresses to announce to before any member is known.
	Seeds func() []string
}

// Run sends heartbeats until ctx ends.
func (h *Heartbeater) Run(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		h.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (h *Heartbeater) round(ctx context.Context) {
	for address := range h.targets() {
		go h.beat(ctx, address)
	}
}

func (h *Heartbeater) targets() map[string]struct{} {
	targets := map[string]struct{}{}
	for _, address := range h.Seeds() {
		targets[address] = struct{}{}
	}
	for _, p := range h.Loop.Snapshot().Peers {
		targets[p.PeerAddress] = struct{}{}
	}
	delete(targets, h.Identity.PeerAddress)
	return targets
}

// beat sends one heartbeat. A missing answer needs no action: the member expires.
func (h *Heartbeater) beat(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	snapshot := h.Loop.Snapshot()
	resp, err := h.Client.At(address).Heartbeat(ctx, connect.NewRequest(&peerv1.HeartbeatRequest{
		Self:  SelfMember(h.Identity, snapshot),
		Known: knownMembers(snapshot),
		Clock: uint64(h.Client.clock.Now()),
	}))
	if err != nil {
		return
	}
	h.Client.clock.Observe(timeline.Stamp(resp.Msg.GetClock()))
	postMember(ctx, h.Loop, resp.Msg.GetSelf())
}
