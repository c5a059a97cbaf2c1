// Package quarantine finds requests that crash the upstreams that run them. It
// keeps the crashes that all instances report and refuses the request for a time.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

const (
	// Duration is how long a request stays in quarantine after its last crash.
	Duration = 10 * time.Minute
	// sameCrash is the time within which breaks of several connections to one upstream
	// are taken for a single crash of it.
	sameCrash = 5 * time.Second
	// crashLimit is the number of crashes after which a request is refused.
	crashLimit = 2
	// shareFor is how long a crash is passed on with each heartbeat after it was learned.
	shareFor = 15 * time.Second
	// maxRecent bounds these crashes in one heartbeat to about 3 KB.
	maxRecent = 64
	// maxOlder bounds the older crashes in one heartbeat, which are chosen at random, so
	// that an instance that was started later learns them as well.
	maxOlder = 8
	// maxPerFingerprint bounds the crashes that are kept of one request.
	maxPerFingerprint = 16
	// maxFingerprints bounds the table.
	maxFingerprints = 4096
)

// Fingerprint identifies a request by what an upstream runs.
type Fingerprint uint64

// Of returns the fingerprint of a request of a client account to a model or route.
func Of(account, target, method, path string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{account, target, method, path} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(body)
	return Fingerprint(binary.LittleEndian.Uint64(h.Sum(nil)))
}

// Crash reports that an upstream broke while it ran a request.
type Crash struct {
	Fingerprint Fingerprint
	Upstream    string
	// SeenAt is in Unix nanoseconds of the instance that saw the crash.
	SeenAt int64
}

type row struct {
	// learned holds the local time at which each crash was learned.
	learned map[Crash]time.Time
	until   time.Time
}

// Table keeps the crashes of all instances. It is not safe for concurrent use.
type Table struct {
	rows map[Fingerprint]*row
	// set is the current answer of Quarantined; nil after a change.
	set Set
}

// Set holds the end of the quarantine of each refused fingerprint.
type Set map[Fingerprint]time.Time

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[Fingerprint]*row{}} }

// Add records a crash. A crash that is known already changes nothing.
func (t *Table) Add(now time.Time, c Crash) {
	age := now.Sub(time.Unix(0, c.SeenAt))
	if age >= Duration {
		return
	}
	r, ok := t.rows[c.Fingerprint]
	if !ok {
		if len(t.rows) >= maxFingerprints {
			return
		}
		r = &row{learned: map[Crash]time.Time{}}
		t.rows[c.Fingerprint] = r
	}
	if r.knows(c) {
		return
	}
	if len(r.learned) >= maxPerFingerprint {
		return
	}
	r.learned[c] = now
	if until := now.Add(Duration - max(age, 0)); until.After(r.until) {
		r.until = until
	}
	t.set = nil
}

// knows reports whether the crash was counted already.
func (r *row) knows(c Crash) bool {
	for known := range r.learned {
		apart := time.Duration(known.SeenAt - c.SeenAt).Abs()
		if known.Upstream == c.Upstream && apart < sameCrash {
			return true
		}
	}
	return false
}

// Expire drops what is older than Duration.
func (t *Table) Expire(now time.Time) {
	for f, r := range t.rows {
		if !now.Before(r.until) {
			delete(t.rows, f)
			t.set = nil
		}
	}
}

// Quarantined returns the fingerprints that are refused. The result is not changed later.
func (t *Table) Quarantined() Set {
	if t.set != nil {
		return t.set
	}
	t.set = Set{}
	for f, r := range t.rows {
		if len(r.learned) >= crashLimit {
			t.set[f] = r.until
		}
	}
	return t.set
}

// Shared returns the crashes to pass on with the next heartbeat.
func (t *Table) Shared(now time.Time) []Crash {
	var recent, older []Crash
	// The order of a map is random, which chooses among the older ones.
	for _, r := range t.rows {
		for c, learned := range r.learned {
			switch {
			case now.Sub(learned) < shareFor && len(recent) < maxRecent:
				recent = append(recent, c)
			case len(older) < maxOlder:
				older = append(older, c)
			}
		}
	}
	return append(recent, older...)
}
