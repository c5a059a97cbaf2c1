package peer

import (
	"iter"
	"sync"
	"time"

	"heatherloom/internal/quarantine"
)

const (
	// resendInterval is how long a report is not repeated to the same peer. Crashes are shared for as long.
	resendInterval = 15 * time.Second
	// sendsPerInterval is how often a report is sent to a peer in that time. The second message reaches it if the
	// first was lost.
	sendsPerInterval = 2
)

// SentReports remembers which crashes and completed prompt parts each peer was sent, so that messages hold little but
// what is new. It is safe for concurrent use; a nil one lets everything through.
type SentReports struct {
	mu    sync.Mutex
	peers map[string]*sentReports
}

// sentReports are those of one process.
type sentReports struct {
	incarnation int64
	since       time.Time
	sent        map[uint64]uint8
}

// Observe notes the incarnation of the process at a peer address. A process that restarted is sent everything again.
func (r *SentReports) Observe(address string, incarnation int64, now time.Time) {
	if r == nil || address == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.peer(address, now); p.incarnation != incarnation {
		if p.incarnation != 0 {
			clear(p.sent)
		}
		p.incarnation = incarnation
	}
}

// Forget makes the next message to a peer hold everything, because the last one may not have arrived.
func (r *SentReports) Forget(address string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.peers, address)
}

// Received notes that a peer knows the reports with the given hashes, because it sent them.
func (r *SentReports) Received(address string, now time.Time, hashes iter.Seq[uint64]) {
	if r == nil || address == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peer(address, now)
	for hash := range hashes {
		p.sent[hash] = sendsPerInterval
	}
}

// Select returns a function that reports whether the message to a peer should hold the report with the given hash. The
// function must be called at once and not concurrently.
func (r *SentReports) Select(address string, now time.Time) func(hash uint64) bool {
	if r == nil || address == "" {
		return func(uint64) bool { return true }
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peer(address, now)
	return func(hash uint64) bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		if p.sent[hash] >= sendsPerInterval {
			return false
		}
		p.sent[hash]++
		return true
	}
}

// peer returns the reports of the process at an address, cleared if the interval is over.
func (r *SentReports) peer(address string, now time.Time) *sentReports {
	if r.peers == nil {
		r.peers = map[string]*sentReports{}
	}
	p, ok := r.peers[address]
	if !ok {
		r.expire(now)
		p = &sentReports{since: now, sent: map[uint64]uint8{}}
		r.peers[address] = p
	}
	if now.Sub(p.since) >= resendInterval {
		clear(p.sent)
		p.since = now
	}
	return p
}

// expire drops the peers to which nothing was sent for some time.
func (r *SentReports) expire(now time.Time) {
	for address, p := range r.peers {
		if now.Sub(p.since) >= 2*resendInterval {
			delete(r.peers, address)
		}
	}
}

// The parameters of the 64-bit FNV-1a hash, which is applied to whole numbers and bytes.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

func mix(hash, value uint64) uint64 { return (hash ^ value) * fnvPrime }

// crashHash identifies what a message says of a crash, the parts that it names included. The time of a crash differs a
// little from one report of it to the next, and identifies it only if that of the start of the process is not known.
func crashHash(c *quarantine.Crash) uint64 {
	process := c.StartedAt
	if process == 0 {
		process = c.SeenAt
	}
	hash := mix(mix(fnvOffset, uint64(c.Fingerprint)), uint64(process))
	for i := range len(c.Upstream) {
		hash = mix(hash, uint64(c.Upstream[i]))
	}
	for _, part := range c.Parts {
		hash = mix(hash, uint64(part))
	}
	return hash
}

// crashHashes returns the hashes of crashes that a peer reported.
func crashHashes(crashes []quarantine.Crash) iter.Seq[uint64] {
	return func(yield func(uint64) bool) {
		for i := range crashes {
			if !yield(crashHash(&crashes[i])) {
				return
			}
		}
	}
}

// completionHash identifies a completion of a prompt part.
func completionHash(part quarantine.Fingerprint, at time.Time) uint64 {
	return mix(mix(mix(fnvOffset, 1), uint64(part)), uint64(at.UnixNano()))
}
