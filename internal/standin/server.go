// Package standin provides network stand-ins for the external systems that the gateway
// depends on. They speak the published protocols over loopback and can inject the faults
// of the real systems. They are for development and tests only.
package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// maxReceived is the number of recent requests that a stand-in keeps.
const maxReceived = 64

// ReceivedRequest is a request as a stand-in received it.
type ReceivedRequest struct {
	Method string
	// URI is the path and query.
	URI    string
	Header http.Header
}

// Server is a running stand-in.
type Server struct {
	listener net.Listener
	http     *http.Server

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	received []ReceivedRequest
	// requests counts all requests, including those dropped from received.
	requests int
}

// Listen serves handler at address, as host:port; port 0 selects a free port.
func Listen(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	s := &Server{
		listener: listener,
		conns:    map[net.Conn]struct{}{},
	}
	s.http = &http.Server{Handler: s.record(handler), ReadHeaderTimeout: 10 * time.Second, ConnState: s.track, ConnContext: countRequests}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

func (s *Server) record(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.requests++
		s.received = append(s.received, ReceivedRequest{Method: r.Method, URI: r.RequestURI, Header: r.Header.Clone()})
		s.received = s.received[max(0, len(s.received)-maxReceived):]
		s.mu.Unlock()
		next.ServeHTTP(w, r)
	})
}

// RequestCount returns the number of requests received.
func (s *Server) RequestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// ReceivedRequests returns the most recent requests, oldest first.
func (s *Server) ReceivedRequests() []ReceivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ReceivedRequest(nil), s.received...)
}

// requestCountKey is the context key of the number of requests on a connection.
type requestCountKey struct{}

func countRequests(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, requestCountKey{}, new(atomic.Int64))
}

// reused reports whether the connection carried an earlier request. It must be called once
// per request, as it counts the request.
func reused(r *http.Request) bool {
	count, ok := r.Context().Value(requestCountKey{}).(*atomic.Int64)
	return ok && count.Add(1) > 1
}

// CloseConnections closes all open connections; new ones are accepted.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// Address returns host:port of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// URL returns the base URL of the listener.
func (s *Server) URL() string { return "http://" + s.Address() }

// Close closes the listener and all connections, as a process crash does.
func (s *Server) Close() { _ = s.http.Close() }

// Shutdown stops the stand-in after its requests in progress.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// serveSet returns a handler that decodes a JSON value and passes it to set.
func serveSet[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var value T
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&value); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(value)
	}
}
