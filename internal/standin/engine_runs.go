package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"
)

// runRecord counts how often an engine ran each request, by its body. It is off by
// default, because it keeps every body.
type runRecord struct {
	mu   sync.Mutex
	on   bool
	runs map[string]int
}

// RecordRuns starts to count the runs of each request.
func (e *Engine) RecordRuns() {
	e.record.mu.Lock()
	defer e.record.mu.Unlock()
	e.record.on = true
	e.record.runs = map[string]int{}
}

// Runs returns how often each request ran since RecordRuns, by its body.
func (e *Engine) Runs() map[string]int {
	e.record.mu.Lock()
	defer e.record.mu.Unlock()
	return maps.Clone(e.record.runs)
}

func (e *Engine) serveRuns(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.Runs())
}

func (r *runRecord) add(body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.on {
		r.runs[string(body)]++
	}
}
