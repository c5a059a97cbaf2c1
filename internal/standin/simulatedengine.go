package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"heatherloom/internal/external/engineapi"
	"heatherloom/internal/promptprefix"
)

// SimulatedEngine is a stand-in for a model engine with simulated batching and latencies. It
// speaks the same API as Engine.
type SimulatedEngine struct {
	params SimulationParams
	mux    *http.ServeMux
	batch  *batch

	mu       sync.Mutex
	server   *Server
	address  string
	faults   EngineFaults
	silenced map[string]struct{}
	// previous are the totals of the batches before the last restart.
	previous SimulationTotals
	crashes  atomic.Int64
}

// simulatedRequest holds the fields of a request that the simulation reads.
type simulatedRequest struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	// Priority orders waiting requests; lower values go first.
	Priority int `json:"priority"`
}

// StartSimulatedEngine starts a stand-in at address.
func StartSimulatedEngine(address string, p SimulationParams) (*SimulatedEngine, error) {
	e := &SimulatedEngine{params: p, mux: http.NewServeMux(), silenced: map[string]struct{}{}}
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("GET /metrics", e.serveMetrics)
	e.mux.HandleFunc("GET "+engineapi.PathCacheEvents, e.serveCacheEvents)
	server, err := Listen(address, e.mux)
	if err != nil {
		return nil, err
	}
	e.server = server
	e.address = server.Address()
	e.batch = newBatch(p)
	return e, nil
}

// Address returns host:port of the listener. It does not change on a restart.
func (e *SimulatedEngine) Address() string { return e.address }

// Stop closes all connections and discards the cache, as a crash does.
func (e *SimulatedEngine) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server.Close()
	e.batch.stop()
}

// Restart starts the engine again after Stop, with a cold cache.
func (e *SimulatedEngine) Restart() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	server, err := Listen(e.address, e.mux)
	if err != nil {
		return err
	}
	e.previous = sumTotals(e.previous, e.batch.currentTotals())
	e.server = server
	e.batch = newBatch(e.params)
	return nil
}

// Connections returns the number of open connections.
func (e *SimulatedEngine) Connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server.mu.Lock()
	defer e.server.mu.Unlock()
	return len(e.server.conns)
}

// Totals returns the cumulative counters across all restarts.
func (e *SimulatedEngine) Totals() SimulationTotals {
	e.mu.Lock()
	defer e.mu.Unlock()
	return sumTotals(e.previous, e.batch.currentTotals())
}

func sumTotals(a, b SimulationTotals) SimulationTotals {
	a.PrefillTokens += b.PrefillTokens
	a.CachedTokens += b.CachedTokens
	a.DecodeTokens += b.DecodeTokens
	a.Busy += b.Busy
	return a
}

// Crashes returns the number of requests whose connection was aborted by CrashOn.
func (e *SimulatedEngine) Crashes() int64 { return e.crashes.Load() }

// ClearCache evicts all cached prefixes.
func (e *SimulatedEngine) ClearCache() { e.currentBatch().clearCache() }

// SetFaults replaces the injected faults; only those that take effect before a response
// apply.
func (e *SimulatedEngine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// SilenceConnections permanently silences all open connections; new ones work.
func (e *SimulatedEngine) SilenceConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server.mu.Lock()
	defer e.server.mu.Unlock()
	for c := range e.server.conns {
		e.silenced[c.RemoteAddr().String()] = struct{}{}
	}
}

func (e *SimulatedEngine) currentBatch() *batch {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.batch
}

func (e *SimulatedEngine) complete(w http.ResponseWriter, r *http.Request) {
	raw, req, err := decodeBody[simulatedRequest](w, r)
	if err != nil || req.MaxTokens < 1 {
		http.Error(w, "the body must be a chat request with max_tokens", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	faults := e.faults
	_, silenced := e.silenced[r.RemoteAddr]
	e.mu.Unlock()
	if silenced {
		<-r.Context().Done()
		return
	}
	if faults.CrashOn != "" && strings.Contains(string(raw), faults.CrashOn) {
		e.crashes.Add(1)
	}
	if !injectFaults(w, r, faults, raw) {
		return
	}
	s := e.currentBatch().submit(r.Context(), req.Priority, promptprefix.HashContent(e.params.Model, req.Messages), req.MaxTokens)
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Content-Type", "text/event-stream")
	e.stream(w, r, s, completion{id: id, model: req.Model, chat: true}, raw)
}

func (e *SimulatedEngine) stream(w http.ResponseWriter, r *http.Request, s *sequence, response completion, body []byte) {
	controller := http.NewResponseController(w)
	for i := range cap(s.tokens) {
		select {
		case <-r.Context().Done():
			return
		case <-s.tokens:
		}
		raw, _ := json.Marshal(response.event(SimulatedToken(body, i)))
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, raw); err != nil {
			return
		}
		if controller.Flush() != nil {
			return
		}
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// SimulatedToken returns token i of the response to a request body.
func SimulatedToken(body []byte, i int) string {
	h := fnv.New64a()
	_, _ = h.Write(body[max(0, len(body)-responseKeyBytes):])
	return fmt.Sprintf("w%x-%d ", h.Sum64()&0xffffff, i)
}

// responseKeyBytes is the length of the end of a body that determines its response. Hashing
// the whole body for each token took more time than the rest of the stand-in.
const responseKeyBytes = 256

func (e *SimulatedEngine) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	load := e.currentBatch().load(time.Now())
	_, _ = fmt.Fprintf(w, "%s %d\n%s %d\n", engineapi.MetricRunning, load.running, engineapi.MetricWaiting, load.waiting)
}

// cacheEvents streams the events of the cache as they become visible.
func (e *SimulatedEngine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	b := e.currentBatch()
	lag := b.scaled(b.params.CacheEventLag)
	ticker := time.NewTicker(max(lag/4, time.Millisecond))
	defer ticker.Stop()
	b.mu.Lock()
	last := b.events.last
	b.mu.Unlock()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-b.done:
			return
		case now := <-ticker.C:
			b.mu.Lock()
			events := b.events.after(last, now.Add(-lag))
			b.mu.Unlock()
			for _, event := range events {
				last = event.sequence
				writeCacheEvent(w, event)
			}
			_ = controller.Flush()
		}
	}
}

func writeCacheEvent(w http.ResponseWriter, event cacheEvent) {
	if event.lost {
		return
	}
	raw, _ := json.Marshal(engineapi.CacheEvent{Stored: event.stored, Removed: event.removed})
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event.sequence, raw)
}
