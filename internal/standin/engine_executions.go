package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"
)

// executionCounter counts the executions of each request, by its body. It is disabled by
// default, because it keeps every body.
type executionCounter struct {
	mu      sync.Mutex
	enabled bool
	counts  map[string]int
}

// RecordExecutions starts counting the executions of each request.
func (e *Engine) RecordExecutions() {
	e.executions.mu.Lock()
	defer e.executions.mu.Unlock()
	e.executions.enabled = true
	e.executions.counts = map[string]int{}
}

// Executions returns how often each request was executed since RecordExecutions, by its
// body.
func (e *Engine) Executions() map[string]int {
	e.executions.mu.Lock()
	defer e.executions.mu.Unlock()
	return maps.Clone(e.executions.counts)
}

func (e *Engine) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.Executions())
}

func (r *executionCounter) add(body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.enabled {
		r.counts[string(body)]++
	}
}
