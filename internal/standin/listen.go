// Package standin holds network stand-ins of the outside parts that the gateway
// depends on. They speak the published protocols over loopback and have switches
// for the faults of the real parts. They are for development and tests only.
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

// maxSeen bounds the requests that a stand-in remembers.
const maxSeen = 64

// Seen is a request as it arrived at a stand-in.
type Seen struct {
	Method string
	// URI is the path and query.
	URI    string
	Header http.Header
}

// Server is a running stand-in.
type Server struct {
	listener net.Listener
	http     *http.Server

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	seen  []Seen
	// requests counts all requests, also those that seen has dropped.
	requests int
}

// Listen serves handler at address, as host:port; port 0 takes a free port.
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
		s.seen = append(s.seen, Seen{Method: r.Method, URI: r.RequestURI, Header: r.Header.Clone()})
		s.seen = s.seen[max(0, len(s.seen)-maxSeen):]
		s.mu.Unlock()
		next.ServeHTTP(w, r)
	})
}

// Requests returns how many requests arrived.
func (s *Server) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// Seen returns the latest requests, the last one at the end.
func (s *Server) Seen() []Seen {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Seen(nil), s.seen...)
}

// earlierKey is the context key of the requests that a connection carried.
type earlierKey struct{}

func countRequests(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, earlierKey{}, new(atomic.Int64))
}

// reused reports whether an earlier request came over the same connection. It is
// called once per request.
func reused(r *http.Request) bool {
	earlier, ok := r.Context().Value(earlierKey{}).(*atomic.Int64)
	return ok && earlier.Add(1) > 1
}

// CloseConnections breaks all open connections; new ones are accepted.
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

// Close breaks all connections, as a crash of the process does.
func (s *Server) Close() { _ = s.http.Close() }

// Shutdown ends the stand-in after its requests.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// serveSwitch returns a handler that decodes a JSON value and passes it to set.
func serveSwitch[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var value T
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&value); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(value)
	}
}
