package gateway

import (
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/routing"
	"heatherloom/internal/telemetry"
)

// EntryProtocol decodes requests for the entry instances to use and encodes the responses.
type EntryProtocol interface {
	// Paths returns the paths of these requests and of the readiness check.
	Paths() (entries, ready string)
	// DecodeEntriesRequest returns the host name that the caller wants to reach, and the
	// region of the caller.
	DecodeEntriesRequest(r *http.Request) (host, region string)
	EncodeEntriesResponse(addresses []string, validity time.Duration) ([]byte, error)
}

// hostEntriesValidity is how long callers may cache a list of entry instances. A draining
// instance serves for several times as long, and the response needs no store access.
const hostEntriesValidity = time.Second

// NewEntriesHandler returns the handler that lists the entry instances to use.
func NewEntriesHandler(protocol EntryProtocol, snapshot func() *routing.Snapshot, now func() time.Time, self string, log *logrus.Entry) http.Handler {
	path, _ := protocol.Paths()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
		host, region := protocol.DecodeEntriesRequest(r)
		addresses := hostEntries(snapshot(), now(), host, region, self)
		if len(addresses) == 0 {
			log.WithFields(logrus.Fields{
				telemetry.FieldEvent:  "no_entry_instance",
				telemetry.FieldCaller: region,
			}).Warn("no entry instance available for a caller")
		}
		raw, err := protocol.EncodeEntriesResponse(addresses, hostEntriesValidity)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(raw)
	})
	return mux
}

// hostEntries returns the addresses of the instances that a caller should use: those in
// its region, else those in the allowed regions of the host's bound routes. Suspect
// instances and those with a stale configuration, which cannot validate keys, are omitted.
// If these regions have only draining instances, which still serve briefly or reject at
// once, they are listed in preference to instances in a region that must not receive the
// data.
func hostEntries(s *routing.Snapshot, now time.Time, host, region, self string) []string {
	allowedRegions := s.Config.HostAllowedRegions(host)
	var ranks [5][]string
	add := func(address, entryRegion string, draining bool) {
		rank := 4
		switch {
		case entryRegion == region:
			rank = 0
		case slices.Contains(allowedRegions, entryRegion):
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

// entryReady reports whether the instance can serve authenticated requests.
func entryReady(s *routing.Snapshot, now time.Time) bool {
	return s.Ready && !s.Draining && !s.ConfigStale(now)
}

// NewReadinessHandler returns the handler of the readiness check.
func NewReadinessHandler(protocol EntryProtocol, snapshot func() *routing.Snapshot, now func() time.Time) http.Handler {
	_, path := protocol.Paths()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		if !entryReady(snapshot(), now()) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
