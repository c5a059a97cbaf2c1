package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"heatherloom/internal/external"
)

// OrderOptions configure how an engine handles orders.
type OrderOptions struct {
	// IgnoreFence accepts orders regardless of their fencing token.
	IgnoreFence bool `json:"ignore_fence"`
	// Weights is the base URL of the weight store; empty to load models immediately.
	Weights string `json:"weights"`
}

// loadRetryInterval is the delay after a failed load without a Retry-After from the weight
// store.
const loadRetryInterval = 100 * time.Millisecond

// orderState holds the order in force and the loaded models of an engine.
type orderState struct {
	mu      sync.Mutex
	options OrderOptions
	state   external.EngineState
	loading bool
}

// SetOrders replaces the options of order handling.
func (e *Engine) SetOrders(s OrderOptions) { e.orders.Set(s) }

// EngineState returns the order in force and the loaded models.
func (e *Engine) EngineState() external.EngineState { return e.orders.snapshot() }

// Set replaces the options.
func (b *orderState) Set(s OrderOptions) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.options = s
}

func (b *orderState) register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/orders", b.serveOrder)
	mux.HandleFunc("GET /v1/orders", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(b.snapshot())
	})
	mux.HandleFunc("POST /standin/orders", serveSet(b.Set))
}

func (b *orderState) snapshot() external.EngineState {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.state
	state.Order.Models = slices.Clone(state.Order.Models)
	state.Loaded = slices.Clone(state.Loaded)
	return state
}

func (b *orderState) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o external.EngineOrder
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !b.accept(o) {
		http.Error(w, "the fencing token is too low", http.StatusConflict)
	}
}

// accept applies an order unless its fencing token is too low.
func (b *orderState) accept(o external.EngineOrder) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.options.IgnoreFence && o.FencingToken < b.state.Order.FencingToken {
		return false
	}
	b.state.Order = o
	b.state.Loaded = slices.DeleteFunc(b.state.Loaded, func(m string) bool { return !slices.Contains(o.Models, m) })
	if !b.loading {
		b.loading = true
		go b.load()
	}
	return true
}

// load loads the missing models of the order in force one after another.
func (b *orderState) load() {
	for {
		model, weights := b.nextMissing()
		if model == "" {
			return
		}
		if delay := fetchWeights(weights, model); delay > 0 {
			time.Sleep(delay)
			continue
		}
		b.addLoaded(model)
	}
}

// nextMissing returns a model of the order that is not loaded. If there is none, it marks
// loading as finished under the same lock, so that no order is missed.
func (b *orderState) nextMissing() (model, weights string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.state.Order.Models {
		if !slices.Contains(b.state.Loaded, m) {
			return m, b.options.Weights
		}
	}
	b.loading = false
	return "", ""
}

// addLoaded marks a model as loaded unless a later order removed it.
func (b *orderState) addLoaded(model string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.Contains(b.state.Order.Models, model) {
		b.state.Loaded = append(b.state.Loaded, model)
	}
}

// fetchWeights downloads the weights of a model. It returns 0, or the delay before the
// next attempt.
func fetchWeights(base, model string) time.Duration {
	if base == "" {
		return 0
	}
	resp, err := http.Get(base + "/weights/" + model)
	if err != nil {
		return loadRetryInterval
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		if _, err := io.Copy(io.Discard, resp.Body); err == nil {
			return 0
		}
		return loadRetryInterval
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		return time.Duration(seconds) * time.Second
	}
	return loadRetryInterval
}
