package faultproxy

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Paths of the control endpoint.
const (
	// PathFaults returns the faults on GET and replaces them on POST.
	PathFaults = "/standin/faults"
	// PathBreak resets all open connections once.
	PathBreak = "/standin/break"
	// PathSilenceOpen permanently silences all open connections.
	PathSilenceOpen = "/standin/silence-open"
	// PathCounts returns the counters.
	PathCounts = "/standin/counts"
)

const readHeaderTimeout = 10 * time.Second

// Control is the HTTP control endpoint of a proxy.
type Control struct {
	listener net.Listener
	http     *http.Server
}

// ServeControl serves the control endpoint of p at address, as host:port.
func ServeControl(p *Proxy, address string) (*Control, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	c := &Control{listener: listener, http: &http.Server{Handler: p.handler(), ReadHeaderTimeout: readHeaderTimeout}}
	go func() { _ = c.http.Serve(listener) }()
	return c, nil
}

// URL returns the base URL of the control endpoint.
func (c *Control) URL() string { return "http://" + c.listener.Addr().String() }

// Close stops the control endpoint.
func (c *Control) Close() { _ = c.http.Shutdown(context.Background()) }

func (p *Proxy) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Faults()) })
	mux.HandleFunc("GET "+PathCounts, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Counts()) })
	mux.HandleFunc("POST "+PathFaults, p.serveSetFaults)
	mux.HandleFunc("POST "+PathBreak, func(http.ResponseWriter, *http.Request) { p.ResetConnections() })
	mux.HandleFunc("POST "+PathSilenceOpen, func(http.ResponseWriter, *http.Request) { p.SilenceConnections() })
	return mux
}

// serveSetFaults rejects unknown fields, so that a misspelled one is detected.
func (p *Proxy) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
