package soak

import (
	"time"

	"heatherloom/platform/standin"
)

// kind names a kind of request.
type kind string

// The kinds of requests.
const (
	kindWrite  kind = "write"
	kindRead   kind = "read"
	kindStream kind = "stream"
	// kindMoving requests are reads on a route that the operators move between services.
	kindMoving kind = "moving"
	// kindBound requests are writes that must run in boundRegion.
	kindBound kind = "bound"
	// kindMetered requests are reads of a client account that asks for more than its rate.
	kindMetered kind = "metered"
)

// repeatable reports whether a request may run more than once.
func (k kind) repeatable() bool { return k == kindRead || k == kindMoving || k == kindMetered }

// result classifies what a caller got.
type result string

// The results.
const (
	// whole is the own and whole answer.
	whole result = "whole"
	// refused is an answer that says that the request did not run.
	refused result = "refused"
	// failed is another answer of the gateway or of a server.
	failed result = "failed"
	// broken is no answer, or one that was visibly cut.
	broken result = "broken"
	// wrong is an answer that looks whole and is not the right one.
	wrong result = "wrong"
)

// call is one request as its caller saw it.
type call struct {
	id     string
	kind   kind
	entry  *entry
	key    string
	sent   time.Time
	ended  time.Time
	result result
	status int
	// written is true if the whole request was written to a connection.
	written bool
	detail  string
}

// version is a configuration of the operators.
type version struct {
	number int64
	at     time.Time
	// service is where kindMoving requests go.
	service string
}

// evidence is what callers, servers and operators saw in a run.
type evidence struct {
	calls []call
	// runs are indexed by the id of their request.
	runs     map[string][]standin.Run
	versions []version
	// revoked and leaving hold when a key was taken away and a server began to leave.
	revoked map[string]time.Time
	leaving map[string]time.Time
	// evacuated holds the evacuations by failure domain.
	evacuated map[string][]span
	entries   []*entry
	servers   map[string]*server
	store     *spans
}

// region returns the region of a failure domain.
func region(domain string) string { return domain[:1] }

// inTouch reports whether nothing had disturbed the instance or the store for the time
// after which the rules with a time bound hold, and nothing does until to.
func (e *evidence) inTouch(i *entry, from, to time.Time) bool {
	return !i.disturbed.touched(from.Add(-contact), to) &&
		!i.planned.touched(from.Add(-contact), to) &&
		!e.store.touched(from.Add(-contact), to)
}

// sendersInTouch reports whether every instance that may have sent the run on was in touch.
func (e *evidence) sendersInTouch(c call, run standin.Run) bool {
	if !e.inTouch(c.entry, c.sent, run.At) {
		return false
	}
	if c.entry.region == region(run.Domain) {
		return true
	}
	for _, other := range e.entries {
		if other.region == region(run.Domain) && !e.inTouch(other, c.sent, run.At) {
			return false
		}
	}
	return true
}
