//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	local "heatherloom/internal/standin"
	"heatherloom/platform/standin"
)

// modelRun is one run of a request at a modelServer.
type modelRun struct {
	id     string
	server string
	after  int
	began  time.Time
	// ended is zero while the server is at work.
	ended  time.Time
	events int
}

// modelServer is a sound model server that streams numbered events and notes when it works. It stops when the connection
// of a request closes.
type modelServer struct {
	*local.Server
	cluster  *cluster
	config   standin.ServerConfig
	prefill  time.Duration
	mu       sync.Mutex
	runs     []*modelRun
	rejected int
}

// addModelServer starts a modelServer and writes its row.
func (c *cluster) addModelServer(config standin.ServerConfig, prefill time.Duration) (*modelServer, error) {
	s := &modelServer{cluster: c, config: config, prefill: prefill}
	server, err := local.Listen("127.0.0.1:0", s)
	if err != nil {
		return nil, err
	}
	s.Server = server
	s.config.StartedAt = time.Now()
	c.store.PutServer(s.config, server.Address(), false)
	c.models = append(c.models, s)
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == standin.HealthPath {
		w.Header().Set("Instance-Id", s.config.ID)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != s.config.ID {
		w.Header().Set("Instance-Id", s.config.ID)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	run := &modelRun{id: id, server: s.config.ID, after: after, began: time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	s.cluster.note("server %s runs %s after event %d, %d bytes of body", s.config.ID, id, after, len(body))
	s.stream(w, r, run)
	s.mu.Lock()
	run.ended = time.Now()
	s.mu.Unlock()
	s.cluster.note("server %s ends its work on %s after event %d", s.config.ID, id, run.after+run.events)
}

func (s *modelServer) stream(w http.ResponseWriter, r *http.Request, run *modelRun) {
	prefill := s.prefill
	if tokens, _, ok := strings.Cut(r.Header.Get("Token-Count"), ","); ok {
		if n, _ := strconv.Atoi(tokens); n < 1000 {
			prefill = 0
		}
	}
	if !pause(r, prefill) {
		return
	}
	w.Header().Set("Response-Seal", "seal-"+run.id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := run.after + 1; n <= s.config.Events; n++ {
		if !pause(r, s.config.EventInterval) {
			return
		}
		if _, err := w.Write(standin.StreamEvent(run.id, n)); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		s.mu.Lock()
		run.events++
		s.mu.Unlock()
	}
}

// pause waits, and reports whether the caller is still there.
func pause(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// allRuns returns copies of the runs of the cluster's model servers.
func (c *cluster) allRuns() (runs []modelRun) {
	for _, s := range c.models {
		s.mu.Lock()
		for _, run := range s.runs {
			runs = append(runs, *run)
		}
		s.mu.Unlock()
	}
	return runs
}

func (r modelRun) String() string { return fmt.Sprintf("%s at %s", r.id, r.server) }
