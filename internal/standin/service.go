package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Service is a stand-in of a plain service. It counts how often it ran each write.
type Service struct {
	*Server

	mu     sync.Mutex
	runs   map[string]int
	faults ServiceFaults
}

// ServiceFaults are the fault switches of a plain service.
type ServiceFaults struct {
	// LoseAnswer runs each request and breaks the connection instead of answering.
	LoseAnswer bool `json:"lose_answer"`
	// CutAnswer breaks the connection in the middle of each answer.
	CutAnswer bool `json:"cut_answer"`
	// Silent runs each request and never answers.
	Silent bool `json:"silent"`
	// DelayMS delays each answer, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
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
	mux.HandleFunc("POST /standin/faults", s.serveFaults)
	mux.HandleFunc("/", s.serve)
	server, err := listen(address, mux)
	if err != nil {
		return nil, err
	}
	s.Server = server
	return s, nil
}

// SetFaults replaces the fault switches.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	_, f, err := decodeBody[ServiceFaults](w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// inject applies the switches after the request ran.
func (s *Service) inject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.Silent {
		<-r.Context().Done()
	}
	wait(r, time.Duration(f.DelayMS)*time.Millisecond)
	if f.CutAnswer {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "{")
		_ = http.NewResponseController(w).Flush()
	}
	if f.LoseAnswer || f.CutAnswer {
		panic(http.ErrAbortHandler)
	}
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
	s.inject(w, r)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(ServiceAnswer{Method: r.Method, Path: r.URL.Path, Body: string(body)})
}
