package standin

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// ServiceFaults are the injected faults of a plain service.
type ServiceFaults struct {
	// Fail executes every call and responds with status 500.
	Fail bool `json:"fail"`
	// Silent executes every call and never responds.
	Silent bool `json:"silent"`
	// DropResponse executes every call and aborts the connection instead of responding.
	DropResponse bool `json:"lose_answer"`
	// TruncateResponse executes every call and aborts the connection in the middle of the
	// response.
	TruncateResponse bool `json:"cut_answer"`
	// Crossed responds with the id of another request.
	Crossed bool `json:"crossed"`
	// Swapped responds with the content of another call under the correct id.
	Swapped bool `json:"swapped"`
	// RunTwice executes each write twice.
	RunTwice bool `json:"run_twice"`
	// DelayMS delays the response after the execution, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
}

// Service is a stand-in for a plain service. It counts the executions of each write.
type Service struct {
	*Server

	mu         sync.Mutex
	executions map[string]int
	faults     ServiceFaults
	scheduler  scheduler
}

// ServiceResponse is the response to every call.
type ServiceResponse struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body,omitempty"`
}

// StartService starts a stand-in at address.
func StartService(address string) (*Service, error) {
	s := &Service{executions: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/runs", s.serveExecutions)
	mux.HandleFunc("POST /standin/faults", serveSet(s.SetFaults))
	mux.HandleFunc("POST /standin/load", serveSet(s.scheduler.Set))
	mux.HandleFunc("GET /metrics", s.scheduler.serveMetrics)
	mux.HandleFunc("/", s.scheduler.limit(s.serve))
	server, err := Listen(address, mux)
	if err != nil {
		return nil, err
	}
	s.Server = server
	return s, nil
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetLoad replaces the options of scheduling and load report.
func (s *Service) SetLoad(l LoadOptions) { s.scheduler.Set(l) }

// Executions returns how often each write was executed, by its body.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.executions)
}

func (s *Service) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Executions())
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := s.execute(r, string(body))
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	sleep(r, time.Duration(faults.DelayMS)*time.Millisecond)
	response := ServiceResponse{Method: r.Method, Path: r.URL.Path, Body: string(body)}
	writeServiceResponse(w, r, response, faults)
}

// execute counts a write and returns the faults that apply to the call.
func (s *Service) execute(r *http.Request, body string) ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		return s.faults
	}
	s.executions[body]++
	if s.faults.RunTwice {
		s.executions[body]++
	}
	return s.faults
}

func writeServiceResponse(w http.ResponseWriter, r *http.Request, response ServiceResponse, f ServiceFaults) {
	id := r.Header.Get("X-Request-Id")
	if f.Crossed {
		id = "another-request"
	}
	if f.Swapped {
		response.Path = "/another-request"
	}
	w.Header().Set("X-Request-Id", id)
	if f.Fail {
		http.Error(w, "service failure", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	raw, _ := json.Marshal(response)
	if f.DropResponse {
		panic(http.ErrAbortHandler)
	}
	if f.TruncateResponse {
		_, _ = w.Write(raw[:len(raw)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(append(raw, '\n'))
}
