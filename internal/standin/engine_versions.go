package standin

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// headerModelVersion is the header with the model version that a request asks for.
const headerModelVersion = "X-Model-Version"

// VersionFault is the injected fault of one model version that an engine serves.
type VersionFault struct {
	Version string `json:"version"`
	// Fail responds to every request with status 500.
	Fail bool `json:"fail"`
	// DelayMS delays the first token, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// Route limits the fault to paths with this suffix; empty for all.
	Route string `json:"route"`
}

// versionState holds the faults of each model version and counts its requests.
type versionState struct {
	mu       sync.Mutex
	faults   map[string]VersionFault
	requests map[string]int
}

// SetVersionFault replaces the fault of one version.
func (e *Engine) SetVersionFault(f VersionFault) { e.versions.set(f) }

// RequestsForVersion returns the number of requests that asked for a version.
func (e *Engine) RequestsForVersion(version string) int { return e.versions.count(version) }

// SetLoaded sets the models that are loaded before any order.
func (e *Engine) SetLoaded(models ...string) {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	e.orders.state.Loaded = slices.Clone(models)
}

func (b *versionState) set(f VersionFault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.faults == nil {
		b.faults = map[string]VersionFault{}
	}
	b.faults[f.Version] = f
}

func (b *versionState) count(version string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests[version]
}

// countRequest counts a request and returns the fault of its version.
func (b *versionState) countRequest(version string) VersionFault {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.requests == nil {
		b.requests = map[string]int{}
	}
	b.requests[version]++
	return b.faults[version]
}

// withFaults returns a handler that applies the fault of the requested version.
func (b *versionState) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := b.countRequest(r.Header.Get(headerModelVersion))
		if !strings.HasSuffix(r.URL.Path, f.Route) {
			next(w, r)
			return
		}
		sleep(r, time.Duration(f.DelayMS)*time.Millisecond)
		if f.Fail {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			http.Error(w, "version failure", http.StatusInternalServerError)
			return
		}
		next(w, r)
	}
}
