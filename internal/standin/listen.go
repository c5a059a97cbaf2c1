// Package standin holds network stand-ins of the outside parts that the gateway
// depends on. They speak the published protocols over loopback and have switches
// for the faults of the real parts. They are for development and tests only.
package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Server is a running stand-in.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// listen serves handler at address, as host:port; port 0 takes a free port.
func listen(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	s := &Server{
		listener: listener,
		http:     &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second},
	}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
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
