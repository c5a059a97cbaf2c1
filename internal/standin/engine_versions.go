package standin

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// headerModelVersion names the version that a request asks for.
const headerModelVersion = "X-Model-Version"

// VersionFault is the behavior of one version of the models that an engine serves.
type VersionFault struct {
	Version string `json:"version"`
	// Fail answers every request with status 500.
	Fail bool `json:"fail"`
	// DelayMS delays the first token, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// Route limits the fault to paths with this suffix; empty for all.
	Route string `json:"route"`
}

// versionBook holds the faults of the versions of an engine and counts their requests.
type versionBook struct {
	mu     sync.Mutex
	faults map[string]VersionFault
	served map[string]int
}

// SetVersionFault replaces the behavior of one version.
func (e *Engine) SetVersionFault(f VersionFault) { e.versions.set(f) }

// Served returns how many requests asked for a version.
func (e *Engine) Served(version string) int { return e.versions.count(version) }

// SetLoaded sets the models that the engine holds before any order.
func (e *Engine) SetLoaded(models ...string) {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	e.orders.state.Loaded = slices.Clone(models)
}

func (b *versionBook) set(f VersionFault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.faults == nil {
		b.faults = map[string]VersionFault{}
	}
	b.faults[f.Version] = f
}

func (b *versionBook) count(version string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.served[version]
}

// enter counts a request and returns the behavior of its version.
func (b *versionBook) enter(version string) VersionFault {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.served == nil {
		b.served = map[string]int{}
	}
	b.served[version]++
	return b.faults[version]
}

// faulty applies the behavior of the version that a request asks for.
func (b *versionBook) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := b.enter(r.Header.Get(headerModelVersion))
		if !strings.HasSuffix(r.URL.Path, f.Route) {
			next(w, r)
			return
		}
		wait(r, time.Duration(f.DelayMS)*time.Millisecond)
		if f.Fail {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			http.Error(w, "version failure", http.StatusInternalServerError)
			return
		}
		next(w, r)
	}
}
