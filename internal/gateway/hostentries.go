package gateway

import (
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/routing"
	"heatherloom/internal/telemetry"
)

// EntryProtocol decodes the question which entry instances to use and encodes its answer.
type EntryProtocol interface {
	// Paths returns the paths of that question and of the readiness check.
	Paths() (entries, ready string)
	// DecodeEntries returns the host name that the caller wants to reach and its region.
	DecodeEntries(r *http.Request) (host, region string)
	EncodeEntries(addresses []string, validity time.Duration) ([]byte, error)
}

// hostEntriesValidity is how long callers may keep a list of entry instances. A draining
// instance serves for several times as long, and the answer costs no call to the store.
const hostEntriesValidity = time.Second

// NewEntries returns the handler that names the entry instances to use.
func NewEntries(protocol EntryProtocol, snapshot func() *routing.Snapshot, now func() time.Time, self string, log *logrus.Entry) http.Handler {
	path, _ := protocol.Paths()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
		host, region := protocol.DecodeEntries(r)
		addresses := hostEntries(snapshot(), now(), host, region, self)
		if len(addresses) == 0 {
			log.WithFields(logrus.Fields{
				telemetry.FieldEvent:  "no_entry_instance",
				telemetry.FieldCaller: region,
			}).Warn("no entry instance can be named to a caller")
		}
		raw, err := protocol.EncodeEntries(addresses, hostEntriesValidity)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(raw)
	})
	return mux
}

// hostEntries returns the addresses of the instances that a caller should use: those of
// its region, or else those of the regions where the data of the host's bound routes may
// go. Instances that are silent or cannot tell which keys are valid are left out. If these
// regions have only instances that drain, which still serve for a moment or refuse at once,
// they are named before those of a region that must not see the data.
func hostEntries(s *routing.Snapshot, now time.Time, host, region, self string) []string {
	homes := s.Config.HostAllowedRegions(host)
	var ranks [5][]string
	add := func(address, where string, draining bool) {
		rank := 4
		switch {
		case where == region:
			rank = 0
		case slices.Contains(homes, where):
			rank = 1
		}
		if draining {
			rank += 2
		}
		if rank < len(ranks) {
			ranks[rank] = append(ranks[rank], address)
		}
	}
	if entryReady(s, now) || s.Draining {
		add(self, s.Region, s.Draining)
	}
	for i := range s.Peers {
		p := &s.Peers[i]
		if !p.Suspect && (p.AcceptsKeys || p.Draining) {
			add(p.CallerAddress(), p.Region, p.Draining)
		}
	}
	for _, list := range ranks {
		if len(list) > 0 {
			return list
		}
	}
	return []string{}
}

// entryReady reports whether the instance can serve requests with keys.
func entryReady(s *routing.Snapshot, now time.Time) bool {
	return s.Ready && !s.Draining && !s.ConfigStale(now)
}

// NewReady returns the handler of the readiness check.
func NewReady(protocol EntryProtocol, snapshot func() *routing.Snapshot, now func() time.Time) http.Handler {
	_, path := protocol.Paths()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		if !entryReady(snapshot(), now()) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
