package usage

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// closeDelay is how long after the end of a window its counts are stated to be final. An event is dated
	// shortly before it is recorded.
	closeDelay = 100 * time.Millisecond
	// copiedWindows is the number of windows, the current one included, whose counts are copied.
	copiedWindows = 3
	// retention is how long the counts of a settled window are kept after its end, and maxRetention those
	// of any window.
	retention    = time.Minute
	maxRetention = 5 * time.Minute
	// silentAfter is how long a process that sends copies each second has to be silent for its copies to be
	// included in answers that did not ask for them. The holder may not know that it ran.
	silentAfter = 2 * time.Second
	// maxRemembered is the number of windows whose reports an instance remembers, those of giveUpAfter with the
	// usual length.
	maxRemembered = 24
)

// Ledger holds what this process counted, copies of the counts of others, and the reports that are known
// to have been decided on. It is safe for concurrent use. Times are corrected ones, see Clock, unless a
// method says otherwise.
type Ledger struct {
	self   Process
	length time.Duration

	// pending holds the counts since they were last added to own. Record needs only this lock, which is
	// held for a map update.
	pendingMu sync.Mutex
	pending   map[pendingKey]int64

	mu     sync.Mutex
	change uint64
	own    map[int64]*ownWindow
	copies map[Process]*copies
	acked  map[Process]uint64
	sent   map[int64][]SentReport
	// lastPending is the number of counts that were pending last.
	lastPending int
	// stopped is true once the process counts no more.
	stopped bool
	settled int64
}

type pendingKey struct {
	window  int64
	account string
}

type ownWindow struct {
	counts map[string]ownCount
	total  int64
	// changed is the change in which a count was last increased.
	changed uint64
}

type ownCount struct {
	count   int64
	changed uint64
}

// copies are those of one process. heard is when it last sent some, by the local clock, and ended is true if
// it stated that it counts no more.
type copies struct {
	heard time.Time
	ended bool
	parts map[int64]*Part
}

// NewLedger returns an empty ledger of a process for windows of the given length.
func NewLedger(self Process, length time.Duration) *Ledger {
	return &Ledger{
		self: self, length: length, pending: map[pendingKey]int64{},
		own: map[int64]*ownWindow{}, copies: map[Process]*copies{}, acked: map[Process]uint64{}, sent: map[int64][]SentReport{},
	}
}

// Self returns the process whose requests the ledger counts.
func (l *Ledger) Self() Process { return l.self }

// Record counts a request of a client account that an upstream began to run.
func (l *Ledger) Record(account string, at time.Time) {
	key := pendingKey{window: windowOf(at, l.length), account: account}
	l.pendingMu.Lock()
	l.pending[key]++
	l.pendingMu.Unlock()
}

// addPending adds the pending counts to own. The mutex must be held.
func (l *Ledger) addPending() {
	next := make(map[pendingKey]int64, l.lastPending)
	l.pendingMu.Lock()
	pending := l.pending
	l.pending = next
	l.pendingMu.Unlock()
	l.lastPending = len(pending)
	if len(pending) == 0 {
		return
	}
	l.change++
	for key, count := range pending {
		w := l.own[key.window]
		if w == nil {
			w = &ownWindow{counts: map[string]ownCount{}}
			l.own[key.window] = w
		}
		w.counts[key.account] = ownCount{count: w.counts[key.account].count + count, changed: l.change}
		w.total += count
		w.changed = l.change
	}
}

// Stop states that the process counts no more, so that all its windows are closed.
func (l *Ledger) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
}

// Stopped reports whether Stop was called.
func (l *Ledger) Stopped() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopped
}

// closed reports whether the process counts no more in a window. The mutex must be held.
func (l *Ledger) closed(window int64, now time.Time) bool {
	return l.stopped || !now.Before(windowStart(window+1, l.length).Add(closeDelay))
}

// Changes returns the own counts of the last windows that changed since the last copy that another
// process acknowledged, and a mark for Acknowledge. Windows without a change are included without counts, to
// tell whether they are closed.
func (l *Ledger) Changes(to Process, now time.Time) (parts []Part, mark uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addPending()
	current, since := windowOf(now, l.length), l.acked[to]
	for window := current - copiedWindows + 1; window <= current; window++ {
		part := Part{Process: l.self, Window: window, Closed: l.closed(window, now)}
		if w := l.own[window]; w != nil {
			part.Total = w.total
			if w.changed > since {
				part.Counts = map[string]int64{}
				for account, c := range w.counts {
					if c.changed > since {
						part.Counts[account] = c.count
					}
				}
			}
		}
		parts = append(parts, part)
	}
	return parts, l.change
}

// Acknowledge notes that another process has what Changes returned with the mark.
func (l *Ledger) Acknowledge(to Process, mark uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acked[to] = max(l.acked[to], mark)
}

// Merge adds copies of the counts of another process, received at a local time. ended is true if the process
// counts no more.
func (l *Ledger) Merge(from Process, parts []Part, ended bool, heard time.Time) {
	if from == l.self || from.Instance == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.copies[from]
	if c == nil {
		c = &copies{parts: map[int64]*Part{}}
		l.copies[from] = c
	}
	if heard.After(c.heard) {
		c.heard = heard
	}
	c.ended = c.ended || ended
	for i := range parts {
		c.add(&parts[i])
	}
}

func (c *copies) add(p *Part) {
	held := c.parts[p.Window]
	if held == nil {
		held = &Part{Process: p.Process, Window: p.Window}
		c.parts[p.Window] = held
	}
	held.merge(p)
}

// Own returns the own counts of a window.
func (l *Ledger) Own(window int64, now time.Time) Part {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ownPart(window, now)
}

func (l *Ledger) ownPart(window int64, now time.Time) Part {
	l.addPending()
	part := Part{Process: l.self, Window: window, Closed: l.closed(window, now), Counts: map[string]int64{}}
	if w := l.own[window]; w != nil {
		part.Total = w.total
		for account, c := range w.counts {
			part.Counts[account] = c.count
		}
	}
	return part
}

// Answer returns what the ledger holds that a query asks for. now is the corrected and local the local time.
func (l *Ledger) Answer(q Query, now, local time.Time) Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settled = max(l.settled, q.SettledThrough)
	a := Answer{Process: l.self}
	if q.Sent {
		for _, window := range slices.Sorted(maps.Keys(l.sent)) {
			a.Sent = append(a.Sent, cloneReports(l.sent[window])...)
		}
	}
	for _, window := range q.Windows {
		if !q.CopiesOnly {
			a.Parts = append(a.Parts, l.ownPart(window, now))
		}
	}
	latestStart := map[string]int64{}
	for p := range l.copies {
		latestStart[p.Instance] = max(latestStart[p.Instance], p.Started)
	}
	for p, c := range l.copies {
		ended := c.ended || p.Started < latestStart[p.Instance]
		if ended {
			a.Ended = append(a.Ended, p)
		}
		if !ended && local.Sub(c.heard) <= silentAfter && !slices.Contains(q.CopiesOf, p.Instance) {
			continue
		}
		for _, window := range q.Windows {
			if part := c.parts[window]; part != nil {
				a.Parts = append(a.Parts, part.clone())
			}
		}
	}
	slices.SortFunc(a.Parts, func(x, y Part) int {
		return cmp.Or(cmp.Compare(x.Window, y.Window), cmp.Compare(x.Instance, y.Instance), cmp.Compare(x.Started, y.Started))
	})
	return a
}

func cloneReports(reports []SentReport) []SentReport {
	cloned := slices.Clone(reports)
	for i := range cloned {
		cloned[i].Counts = maps.Clone(cloned[i].Counts)
	}
	return cloned
}

// Remember keeps a report that a holder has decided on, for later holders that find no record of it in the
// store. A report that is remembered with the same token is replaced.
func (l *Ledger) Remember(r SentReport) {
	r.Counts = maps.Clone(r.Counts)
	l.mu.Lock()
	defer l.mu.Unlock()
	reports := l.sent[r.Window]
	if i := slices.IndexFunc(reports, func(s SentReport) bool { return s.Token == r.Token }); i >= 0 {
		if reports[i].Accepted || r.Accepted {
			r = r.accepted()
		}
		r.Recorded = r.Recorded || reports[i].Recorded
		reports[i] = r
		return
	}
	l.sent[r.Window] = append(reports, r)
	for len(l.sent) > maxRemembered {
		delete(l.sent, slices.Min(slices.Collect(maps.Keys(l.sent))))
	}
}

// Expire drops the counts of windows that ended long ago. now is the corrected and local the local time.
func (l *Ledger) Expire(now, local time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addPending()
	expired := func(window int64) bool {
		age := now.Sub(windowStart(window+1, l.length))
		return age > maxRetention || (age > retention && window <= l.settled)
	}
	maps.DeleteFunc(l.own, func(window int64, _ *ownWindow) bool { return expired(window) })
	for p, c := range l.copies {
		maps.DeleteFunc(c.parts, func(window int64, _ *Part) bool { return expired(window) })
		if len(c.parts) == 0 && local.Sub(c.heard) > retention {
			delete(l.copies, p)
		}
	}
}

// Forget makes the next copy to another process hold all counts of the last windows.
func (l *Ledger) Forget(to Process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.acked, to)
}
