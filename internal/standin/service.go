package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
)

// Service is a stand-in of a plain service. It counts how often it ran each write.
type Service struct {
	*Server

	mu   sync.Mutex
	runs map[string]int
}

// ServiceAnswer is the answer to every call.
type ServiceAnswer struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body,omitempty"`
}

// StartService starts a stand-in at address.
func StartService(address string) (*Service, error) {
	s := &Service{runs: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/runs", s.serveRuns)
	mux.HandleFunc("/", s.serve)
	server, err := listen(address, mux)
	if err != nil {
		return nil, err
	}
	s.Server = server
	return s, nil
}

// Runs returns how often each write ran, by its body.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for body, n := range s.runs {
		runs[body] = n
	}
	return runs
}

func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Runs())
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		s.mu.Lock()
		s.runs[string(body)]++
		s.mu.Unlock()
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(ServiceAnswer{Method: r.Method, Path: r.URL.Path, Body: string(body)})
}
