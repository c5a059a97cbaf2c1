// Package dispatch carries one request from the point where its client account is
// known to its final answer: it picks an upstream or another entry instance, makes
// the attempt, and repeats it where that is allowed.
package dispatch

import (
	"context"
	"net/http"
	"time"

	"heatherloom/internal/errkind"
	"heatherloom/internal/relay"
	"heatherloom/internal/routing"
)

// Request is a request whose client account is known.
type Request struct {
	ID      string
	Account string
	Method  string
	// Path includes the query, without credentials.
	Path   string
	Header http.Header
	Body   []byte
	// Target is a model@version or the name of a plain service.
	Target string
	// Stream is true if the caller asked for server-sent events.
	Stream bool
	// Repeatable requests may be sent to another upstream after a failure. All
	// others are sent at most once.
	Repeatable bool
	// BoundRegion is the region that the request must not leave; empty for none.
	BoundRegion string
	// Visited are the entry instances that already handled the request.
	Visited  []string
	Deadline time.Time
}

// Sink receives the answer. Head is called at most once and before Data.
type Sink = relay.Sink

// Forwarder sends a request to an entry instance of another region.
type Forwarder interface {
	Forward(ctx context.Context, peer routing.Peer, r *Request, sink Sink) relay.Result
}

// maxAttempts bounds the attempts of one repeatable request.
const maxAttempts = 3

// Dispatcher serves requests against the current snapshot. It is safe for
// concurrent use.
type Dispatcher struct {
	// Snapshot returns the current snapshot.
	Snapshot func() *routing.Snapshot
	Relay    *relay.Relay
	Forward  Forwarder
}

// Dispatch serves r and delivers its answer to sink. It returns nil if the whole
// answer was delivered. If the sink's Head was called before a failure, the
// answer is cut and the caller must mark it as incomplete.
func (d *Dispatcher) Dispatch(ctx context.Context, r *Request, sink Sink) *errkind.Error {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	var tried []string
	ran := errkind.RanNo
	for attempt := 1; ; attempt++ {
		result, used, err := d.attempt(ctx, r, tried, sink)
		if err != nil {
			err.Ran = furthest(ran, err.Ran)
			return err
		}
		if result.Err == nil {
			return nil
		}
		ran = furthest(ran, result.Err.Ran)
		tried = append(tried, used)
		if !mayRepeat(ctx, r, result, attempt) {
			result.Err.Ran = ran
			return result.Err
		}
	}
}

// furthest returns what is known of a request after two attempts: it certainly did
// not run only if neither ran.
func furthest(a, b errkind.Ran) errkind.Ran {
	for _, ran := range []errkind.Ran{errkind.RanYes, errkind.RanUnknown} {
		if a == ran || b == ran {
			return ran
		}
	}
	return errkind.RanNo
}

// mayRepeat reports whether the request may be sent again: either nothing of it
// reached an upstream, or it is repeatable and the caller has seen no part of an answer.
func mayRepeat(ctx context.Context, r *Request, result relay.Result, attempt int) bool {
	if result.Started || attempt >= maxAttempts || ctx.Err() != nil {
		return false
	}
	return r.Repeatable || result.Err.Ran == errkind.RanNo
}

func (d *Dispatcher) attempt(ctx context.Context, r *Request, tried []string, sink Sink) (relay.Result, string, *errkind.Error) {
	snapshot := d.Snapshot()
	choice, err := routing.Pick(snapshot, &routing.Request{
		ID:          r.ID,
		Target:      r.Target,
		BoundRegion: r.BoundRegion,
		Visited:     r.Visited,
		Tried:       tried,
	})
	if err != nil {
		return relay.Result{}, "", errkind.From(err)
	}
	if choice.Peer >= 0 {
		peer := snapshot.Peers[choice.Peer]
		return d.Forward.Forward(ctx, peer, r, sink), peer.ID, nil
	}
	upstream := &snapshot.Upstreams[choice.Upstream]
	return d.toUpstream(ctx, r, upstream, sink), upstream.ID, nil
}

func (d *Dispatcher) toUpstream(ctx context.Context, r *Request, u *routing.Upstream, sink Sink) relay.Result {
	u.Counters.InFlight.Add(1)
	defer u.Counters.InFlight.Add(-1)
	result := d.Relay.Do(ctx, relay.Attempt{
		RequestID:  r.ID,
		Address:    u.Address,
		Method:     r.Method,
		Path:       r.Path,
		Header:     r.Header,
		Body:       r.Body,
		Stream:     r.Stream,
		Repeatable: r.Repeatable,
	}, sink)
	if result.Err == nil {
		u.Counters.Failures.Store(0)
	} else if result.UpstreamFault {
		u.Counters.Failures.Add(1)
	}
	return result
}
