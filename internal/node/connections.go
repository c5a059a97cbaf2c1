package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"heatherloom/internal/clock"
)

const (
	// lastRequestsTimeout is how long the callers of a drained instance may send requests over open
	// connections, which are rejected; a caller may have sent one before it saw the drain.
	lastRequestsTimeout = 100 * time.Millisecond
	// connsPollInterval is the time between two looks for open connections.
	connsPollInterval = 5 * time.Millisecond
)

// openConns are the open connections of an HTTP/1 server. http.Server.Shutdown closes connections
// whose next request it has just read; this closes them only while nothing was read.
type openConns struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

// track makes the connections of a server known. It must be called before the server is started.
func (o *openConns) track(server *http.Server) {
	o.states = map[net.Conn]http.ConnState{}
	server.ConnState = o.record
}

func (o *openConns) record(c net.Conn, state http.ConnState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(o.states, c)
		return
	}
	o.states[c] = state
}

// close waits until callers have closed the connections, and then closes those on which nothing
// arrives. It returns when none is open or when ctx ends.
func (o *openConns) close(ctx context.Context) {
	last, cancel := withPartOfTime(ctx, lastRequestsTimeout)
	defer cancel()
	for last.Err() == nil && o.count() > 0 {
		clock.Sleep(last, connsPollInterval)
	}
	for ctx.Err() == nil && o.count() > 0 {
		o.endReads()
		clock.Sleep(ctx, connsPollInterval)
	}
}

func (o *openConns) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.states)
}

// endReads ends the waits for the next request. A request that was read is still served.
func (o *openConns) endReads() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for c, state := range o.states {
		if state != http.StateActive {
			_ = c.SetReadDeadline(time.Now())
		}
	}
}
