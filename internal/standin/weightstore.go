package standin

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// WeightStoreFaults are the injected faults and the contents of the weight store.
type WeightStoreFaults struct {
	// PerSecond limits the call rate; calls above the limit get status 429 with
	// Retry-After; 0 for no limit.
	PerSecond float64 `json:"per_second"`
	// Outage makes every call fail with status 503.
	Outage bool `json:"outage"`
	// Missing is a model@version that the store does not have.
	Missing string `json:"missing"`
	// Bytes is the size of each version.
	Bytes int64 `json:"bytes"`
	// DelayMS delays each response, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
}

// WeightStore is a stand-in for the weight store.
type WeightStore struct {
	*Server

	mu      sync.Mutex
	faults  WeightStoreFaults
	limiter *rate.Limiter
	counts  WeightStoreCounts
}

// WeightStoreCounts are the call counts since the start.
type WeightStoreCounts struct {
	Served  int `json:"served"`
	Limited int `json:"limited"`
}

// StartWeightStore starts a stand-in at address.
func StartWeightStore(address string) (*WeightStore, error) {
	s := &WeightStore{limiter: rate.NewLimiter(rate.Inf, 1)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}", s.serve)
	mux.HandleFunc("POST /standin/faults", serveSet(s.SetFaults))
	mux.HandleFunc("GET /standin/counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Counts())
	})
	server, err := Listen(address, mux)
	if err != nil {
		return nil, err
	}
	s.Server = server
	return s, nil
}

// SetFaults replaces the injected faults and the contents.
func (s *WeightStore) SetFaults(f WeightStoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.limiter.SetLimit(rate.Inf)
	if f.PerSecond > 0 {
		s.limiter.SetLimit(rate.Limit(f.PerSecond))
	}
}

// Counts returns the call counts since the start.
func (s *WeightStore) Counts() WeightStoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *WeightStore) serve(w http.ResponseWriter, r *http.Request) {
	faults, delay := s.admit()
	if faults.Outage {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	if delay > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(delay.Seconds()))))
		http.Error(w, "too many requests", http.StatusTooManyRequests)
		return
	}
	if r.PathValue("model") == faults.Missing {
		http.NotFound(w, r)
		return
	}
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	w.Header().Set("Content-Length", strconv.FormatInt(faults.Bytes, 10))
	_, _ = w.Write(make([]byte, faults.Bytes))
}

// admit counts the call and returns the delay after which it is allowed; 0 if it is allowed
// now.
func (s *WeightStore) admit() (WeightStoreFaults, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reservation := s.limiter.Reserve()
	delay := reservation.Delay()
	if delay > 0 {
		reservation.Cancel()
		s.counts.Limited++
		return s.faults, delay
	}
	s.counts.Served++
	return s.faults, 0
}
