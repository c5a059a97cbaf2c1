package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherloom/internal/external"
	"heatherloom/internal/external/httpsd"
)

type instanceChange struct {
	instance external.Instance
	since    time.Time
	removed  bool
}

// InstanceList is a stand-in for the platform's instance list. Changes become visible after
// a lag.
type InstanceList struct {
	*Server

	mu      sync.Mutex
	lag     time.Duration
	outage  bool
	history []instanceChange
}

// StartInstanceList starts a stand-in at address.
func StartInstanceList(address string) (*InstanceList, error) {
	l := &InstanceList{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", l.serveList)
	mux.HandleFunc("POST /instances", serveSet(l.Set))
	mux.HandleFunc("DELETE /instances/{id}", func(_ http.ResponseWriter, r *http.Request) { l.Remove(r.PathValue("id")) })
	mux.HandleFunc("POST /standin/faults", serveSet(l.SetFaults))
	server, err := Listen(address, mux)
	if err != nil {
		return nil, err
	}
	l.Server = server
	return l, nil
}

// InstanceListFaults are the injected faults of the instance list.
type InstanceListFaults struct {
	// LagMS is the delay until changes become visible, in milliseconds.
	LagMS int64 `json:"lag_ms"`
	// Outage makes every read fail with status 503.
	Outage bool `json:"outage"`
}

// SetFaults replaces the injected faults.
func (l *InstanceList) SetFaults(f InstanceListFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = time.Duration(f.LagMS) * time.Millisecond
	l.outage = f.Outage
}

// SetLag sets the delay until changes become visible and clears other faults.
func (l *InstanceList) SetLag(lag time.Duration) {
	l.SetFaults(InstanceListFaults{LagMS: lag.Milliseconds()})
}

// Set adds or replaces an instance.
func (l *InstanceList) Set(i external.Instance) {
	l.record(instanceChange{instance: i, since: time.Now()})
}

// Remove removes an instance from the list.
func (l *InstanceList) Remove(id string) {
	l.record(instanceChange{instance: external.Instance{ID: id}, since: time.Now(), removed: true})
}

func (l *InstanceList) record(change instanceChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = append(l.history, change)
}

// visible returns the list as it was before the configured lag.
func (l *InstanceList) visible(now time.Time) []external.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest := map[string]instanceChange{}
	var order []string
	for _, change := range l.history {
		if now.Sub(change.since) < l.lag {
			continue
		}
		id := change.instance.ID
		if _, ok := latest[id]; !ok {
			order = append(order, id)
		}
		latest[id] = change
	}
	var instances []external.Instance
	for _, id := range order {
		if !latest[id].removed {
			instances = append(instances, latest[id].instance)
		}
	}
	return instances
}

func (l *InstanceList) down() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outage
}

func (l *InstanceList) serveList(w http.ResponseWriter, r *http.Request) {
	if l.down() {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	groups := []httpsd.TargetGroup{}
	for _, instance := range l.visible(time.Now()) {
		groups = append(groups, httpsd.NewTargetGroup(instance))
	}
	body, err := json.Marshal(groups)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("ETag", fmt.Sprintf("%q", fmt.Sprintf("%x", xxhash.Sum64(body))))
	// ServeContent responds with 304 to a matching If-None-Match.
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(body))
}
