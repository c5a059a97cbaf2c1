package standin

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// ServiceFaults are the fault switches of a plain service.
type ServiceFaults struct {
	// Fail answers every call with status 500 after it ran.
	Fail bool `json:"fail"`
	// Silent accepts calls, runs them and never answers.
	Silent bool `json:"silent"`
	// LoseAnswer runs each call and breaks the connection instead of answering.
	LoseAnswer bool `json:"lose_answer"`
	// CutAnswer runs each call and breaks the connection within its answer.
	CutAnswer bool `json:"cut_answer"`
	// Crossed answers with the id of another request.
	Crossed bool `json:"crossed"`
	// Swapped answers with the content of another call under the right id.
	Swapped bool `json:"swapped"`
	// RunTwice runs each write twice.
	RunTwice bool `json:"run_twice"`
	// DelayMS delays the answer after the call ran, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
}

// Service is a stand-in of a plain service. It counts how often it ran each write.
type Service struct {
	*Server

	mu     sync.Mutex
	runs   map[string]int
	faults ServiceFaults
	load   loadHistory
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
	mux.HandleFunc("POST /standin/faults", serveSwitch(s.SetFaults))
	mux.HandleFunc("POST /standin/load", serveSwitch(s.load.Set))
	mux.HandleFunc("GET /metrics", s.load.serveMetrics)
	mux.HandleFunc("/", s.load.scheduled(s.serve))
	server, err := Listen(address, mux)
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

// SetLoad replaces the switches of scheduling and load report.
func (s *Service) SetLoad(l LoadSwitches) { s.load.Set(l) }

// Runs returns how often each write ran, by its body.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
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
	faults := s.run(r, string(body))
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	wait(r, time.Duration(faults.DelayMS)*time.Millisecond)
	answer := ServiceAnswer{Method: r.Method, Path: r.URL.Path, Body: string(body)}
	writeServiceAnswer(w, r, answer, faults)
}

// run counts a write and returns the fault switches that hold for the call.
func (s *Service) run(r *http.Request, body string) ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		return s.faults
	}
	s.runs[body]++
	if s.faults.RunTwice {
		s.runs[body]++
	}
	return s.faults
}

func writeServiceAnswer(w http.ResponseWriter, r *http.Request, answer ServiceAnswer, f ServiceFaults) {
	id := r.Header.Get("X-Request-Id")
	if f.Crossed {
		id = "another-request"
	}
	if f.Swapped {
		answer.Path = "/another-request"
	}
	w.Header().Set("X-Request-Id", id)
	if f.Fail {
		http.Error(w, "service failure", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	raw, _ := json.Marshal(answer)
	if f.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	if f.CutAnswer {
		_, _ = w.Write(raw[:len(raw)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(append(raw, '\n'))
}
