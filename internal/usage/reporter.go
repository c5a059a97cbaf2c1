package usage

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/clock"
	"heatherloom/internal/external"
	"heatherloom/internal/telemetry"
)

const (
	copyInterval = time.Second
	// askInterval is the time between two queries to an instance that has not answered.
	askInterval = time.Second
	// stepInterval is the time between two looks at the permit, which makes no call.
	stepInterval = 100 * time.Millisecond
	// callTimeout is that of a call to an instance or to the store; sendTimeout that of one to the duty API unless
	// Config has another one. The permit must last for as long when the call begins.
	callTimeout = time.Second
	sendTimeout = time.Second
	// informTimeout bounds how long a report waits for two instances to remember it.
	informTimeout = 300 * time.Millisecond
	// informed is the number of instances that remember a report before it is sent.
	informed = 2
	// storeRetry is the time until a call to the store is repeated after a failure, and rateRetry that until a
	// report is sent again if the duty API names none.
	storeRetry = 500 * time.Millisecond
	rateRetry  = time.Second
	// minAskTimeout is the least time that a round of queries takes before its instances count as missing.
	minAskTimeout = 200 * time.Millisecond
	// Copies of the counts of instances that do not answer are asked for in the first copyRounds rounds, in which the
	// last copies arrive, and then in each copyRoundEvery-th one.
	copyRounds     = 3
	copyRoundEvery = 5
	// recoveryRounds is how often all instances are asked for remembered reports while some do not answer.
	recoveryRounds = 3
)

// Errors of Peers.
var (
	// ErrUnsupported is returned for an instance of a release without usage reports.
	ErrUnsupported = errors.New("the instance does not count usage")
	// ErrEnded is returned if the process does not run any more.
	ErrEnded = errors.New("the process has ended")
)

// Member is another entry instance.
type Member struct {
	Process
	// Address is the host and port of its peer listener.
	Address string
	// Heard is when it was last heard from, by package clock.
	Heard time.Time
}

// Copy is what an instance sends to others each second.
type Copy struct {
	From  Process
	Parts []Part
	// Ended is true if the sender counts no more.
	Ended bool
	// Sent are reports to remember.
	Sent []SentReport
}

// Peers are the other entry instances. Calls end with their context.
type Peers interface {
	// Live returns the instances that are believed to run.
	Live() []Member
	// CopyTargets returns the instances to which copies are sent, the most suitable ones first, without those
	// to which that would need a new connection.
	CopyTargets() []Member
	// Copy sends counts of the own process, and reports to remember.
	Copy(ctx context.Context, to Member, c Copy) error
	// Collect asks an instance for what it knows. It returns ErrUnsupported and ErrEnded as they say.
	Collect(ctx context.Context, from Member, q Query) (Answer, error)
}

// Store is the part of external.Store that the reporter needs. Revisions are extended by the era of
// the store.
type Store interface {
	Get(ctx context.Context, key string) (external.Entry, error)
	Commit(ctx context.Context, conditions []external.Condition, writes []external.Write) (ok bool, revision int64, err error)
}

// API is the part of external.DutyAPI that the reporter needs.
type API interface {
	ReportUsage(ctx context.Context, f external.Fence, r external.UsageReport) error
}

// Config holds the settings of a Reporter.
type Config struct {
	// Window is the length of a window, and Due the time from its end until its report is due.
	Window, Due time.Duration
	// Lease is the settling time of a new holder.
	Lease time.Duration
	// CallTimeout is that of a call to the duty API, which is shorter than a permit; 0 for sendTimeout.
	CallTimeout time.Duration
}

func (c *Config) sendTimeout() time.Duration { return cmp.Or(c.CallTimeout, sendTimeout) }

// Reporter copies the counts of this process to other instances and, while it has a permit, reports
// the usage of all. Its fields must be set before Run. It is safe for concurrent use.
type Reporter struct {
	Config Config
	Ledger *Ledger
	Clock  *Clock
	// Permit returns the fence of the duty's holder and until when it may act, by package clock; ok is false if
	// this instance does not hold the duty or has not settled.
	Permit func() (fence external.Fence, until time.Time, ok bool)
	// Outcome is called with the result of each call to API; nil to ignore it.
	Outcome func(error)
	Store   Store
	API     API
	Peers   Peers
	Log     *logrus.Entry
	// Now is clock.Now unless a test sets another clock.
	Now func() time.Time

	term *term
	// seen holds the processes that were heard from in the last minutes, and ended those of them that do not run
	// any more.
	seen  map[Process]Member
	ended map[Process]bool
	// lookedAt is when seen was last updated.
	lookedAt time.Time
	// copied are the processes that got copies last, and unsupported those that cannot use them.
	copied      map[Process]bool
	unsupported map[Process]time.Time

	mu     sync.Mutex
	status Status
	// held is the last time that this process held the duty, and former the one before, under another token.
	held, former holding
}

// holding tells until when a process held the duty under a token. Once it has read the row, it knows all reports of
// earlier holders: floor is the last window up to which it reported nothing that it does not remember.
type holding struct {
	token   int64
	at      time.Time
	hasRead bool
	floor   int64
}

// Status tells operators what the reporter does. Delays count from the end of a window.
type Status struct {
	// Holding is true while this instance has a permit, and Token is that of its last permit.
	Holding bool
	Token   int64
	// LastWindow is the last window whose report was accepted, with its delay; 0 if there is none.
	LastWindow int64
	LastDelay  time.Duration
	// Recorded is the number of reports that wait to be accepted.
	Recorded int
	// Windows counts windows by outcome.
	Windows map[Outcome]int64
	// ClockCorrection is the difference of the corrected to the local clock.
	ClockCorrection time.Duration
}

// Outcome is what became of a window.
type Outcome string

// Outcomes of windows.
const (
	// OutcomeInTime and OutcomeLate: the duty API accepted the report.
	OutcomeInTime Outcome = "in_time"
	OutcomeLate   Outcome = "late"
	// OutcomeIncomplete: the report was recorded although counts of some instances were missing. It is counted
	// again when it is accepted.
	OutcomeIncomplete Outcome = "incomplete"
	// OutcomeLeftOut: the window is not reported.
	OutcomeLeftOut Outcome = "left_out"
)

// term is the state of a holder between its first permit and its last one.
type term struct {
	fence external.Fence
	// settled is the time of the first permit, in true time, and settledAt the same by the local clock.
	settled, settledAt time.Time
	row                Row
	revision           int64
	// read is true once the row was read, and recovered once it holds all that a former holder may have sent.
	read, recovered bool
	lineage         lineage
	// edge is the first window that is neither reported nor counted as left out; 0 if it is not known.
	edge           int64
	recoveryRounds int
	storeAfter     time.Time
	recordAfter    time.Time
	windows        map[int64]*collection
	// recorded holds the windows that were recorded, also if the row does not hold them any more.
	recorded map[int64]bool
	// accepted holds windows whose acceptance is not recorded yet, and sendAfter when a report may be sent again.
	accepted  map[int64]bool
	sendAfter map[int64]sendRetry
	apiAfter  time.Time
}

type sendRetry struct {
	at       time.Time
	attempts int
}

// collection holds what is known of a window.
type collection struct {
	parts map[Process]*Part
	// resolved holds the processes of which no more is to be expected.
	resolved map[Process]bool
	asked    time.Time
	rounds   int
	// report is set once the counts are final.
	report *SentReport
}

func (c *collection) add(parts []Part) {
	for i := range parts {
		p := &parts[i]
		held := c.parts[p.Process]
		if held == nil {
			held = &Part{Process: p.Process, Window: p.Window}
			c.parts[p.Process] = held
		}
		held.merge(p)
	}
}

// isResolved reports whether all counts of a process are known.
func (c *collection) isResolved(p Process) bool {
	part := c.parts[p]
	return c.resolved[p] || (part != nil && part.complete())
}

// coversFrom reports whether a process that ran from the given time on has stated its counts. Without one, all instances
// have started since, and what is known of the window may be anything.
func (c *collection) coversFrom(start time.Time) bool {
	for p := range c.parts {
		if p.Started <= start.UnixNano() {
			return true
		}
	}
	return false
}

func (c *collection) counts() map[string]int64 {
	counts := map[string]int64{}
	for _, part := range c.parts {
		for account, count := range part.Counts {
			counts[account] += count
		}
	}
	return counts
}

// Count counts a request of a client account that an upstream began to run now.
func (r *Reporter) Count(account string) { r.Ledger.Record(account, r.date()) }

// date returns the current true time.
func (r *Reporter) date() time.Time { return r.Clock.Date(r.Now()) }

// Run copies counts and makes reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	var copying sync.WaitGroup
	copying.Go(func() {
		for ctx.Err() == nil {
			started := r.Now()
			r.copyCounts(ctx)
			clock.Sleep(ctx, copyInterval-r.Now().Sub(started))
		}
	})
	for ctx.Err() == nil {
		r.step(ctx)
		clock.Sleep(ctx, stepInterval)
	}
	copying.Wait()
}

// Flush sends the counts of a process that counts no more, so that nobody waits for them. It must be
// called after the last request and before the process ends.
func (r *Reporter) Flush(ctx context.Context) {
	r.Ledger.Stop()
	r.copyCounts(ctx)
}

// copyTargets returns the instances to which copies are sent.
func (r *Reporter) copyTargets() []Member {
	now := r.Now()
	var targets []Member
	for _, m := range r.Peers.CopyTargets() {
		if at, ok := r.unsupported[m.Process]; ok && now.Sub(at) < time.Minute {
			continue
		}
		targets = append(targets, m)
	}
	return targets[:min(len(targets), copyTargets)]
}

// copyTargets is the number of instances that get copies of the counts of each one.
const copyTargets = 3

// copyCounts sends the counts that changed to other instances. A copy that is lost is part of the next one.
func (r *Reporter) copyCounts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r.mu.Lock()
	targets := r.copyTargets()
	chosen := map[Process]bool{}
	for _, m := range targets {
		chosen[m.Process] = true
	}
	for p := range r.copied {
		if !chosen[p] {
			r.Ledger.Forget(p)
		}
	}
	r.copied = chosen
	r.mu.Unlock()
	var sends sync.WaitGroup
	for _, m := range targets {
		parts, mark := r.Ledger.Changes(m.Process, r.date())
		sends.Go(func() {
			err := r.Peers.Copy(ctx, m, Copy{From: r.Ledger.Self(), Parts: parts, Ended: r.Ledger.Stopped()})
			if err == nil {
				r.Ledger.Acknowledge(m.Process, mark)
			} else if errors.Is(err, ErrUnsupported) {
				r.mu.Lock()
				defer r.mu.Unlock()
				if r.unsupported == nil {
					r.unsupported = map[Process]time.Time{}
				}
				r.unsupported[m.Process] = r.Now()
			}
		})
	}
	sends.Wait()
	r.Ledger.Expire(r.date(), r.Now())
}

// Receive keeps what another process sends.
func (r *Reporter) Receive(c Copy) {
	r.Ledger.Merge(c.From, c.Parts, c.Ended, r.Now())
	for _, s := range c.Sent {
		r.Ledger.Remember(s)
	}
}

// Answer answers a query of the holder.
func (r *Reporter) Answer(q Query) Answer {
	a := r.Ledger.Answer(q, r.date(), r.Now())
	if q.Sent {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.held.hasRead {
			a.HeldToken, a.HeldAgo, a.HolderFloor = r.held.token, r.Now().Sub(r.held.at), r.held.floor
		}
	}
	return a
}

// Status returns the state of the reporter.
func (r *Reporter) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.status
	s.Windows = maps.Clone(s.Windows)
	s.ClockCorrection = r.Clock.Correction()
	return s
}

func (r *Reporter) count(o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status.Windows == nil {
		r.status.Windows = map[Outcome]int64{}
	}
	r.status.Windows[o]++
}

// permitted reports whether the permit of the term lasts for so long.
func (r *Reporter) permitted(t *term, lasting time.Duration) bool {
	before := r.Now()
	fence, until, ok := r.Permit()
	// The duty may have changed hands in a pause after the permit was read.
	r.noteHeld(fence, before, ok)
	return ok && fence == t.fence && until.Sub(r.Now()) >= lasting
}

// step does what is due.
func (r *Reporter) step(ctx context.Context) {
	now := r.Now()
	r.noteLive(now)
	fence, _, ok := r.Permit()
	r.noteHeld(fence, now, ok)
	if !ok {
		return
	}
	if r.term == nil || r.term.fence != fence {
		r.term = &term{
			fence: fence, settled: r.Clock.Date(now), settledAt: now,
			windows: map[int64]*collection{}, recorded: map[int64]bool{}, accepted: map[int64]bool{}, sendAfter: map[int64]sendRetry{},
		}
	}
	t := r.term
	if !t.read && !r.readRow(ctx, t) {
		return
	}
	if !t.recovered && !r.recoverRow(ctx, t) {
		return
	}
	r.send(ctx, t)
	r.countLeftOut(t)
	r.collect(ctx, t)
	r.record(ctx, t)
	r.send(ctx, t)
}

func (r *Reporter) leaveOut(window int64) {
	r.count(OutcomeLeftOut)
	r.Log.WithFields(logrus.Fields{telemetry.FieldEvent: "usage_left_out", "window": window}).Warn("a usage window is not reported: its report may have been sent before, was not accepted for too long, or its counts came too late")
}

// countLeftOut counts the windows that are not reported any more.
func (r *Reporter) countLeftOut(t *term) {
	first := r.firstOpen(t, r.date())
	for ; t.edge != 0 && t.edge < first; t.edge++ {
		if !t.row.has(t.edge) && !t.recorded[t.edge] {
			r.leaveOut(t.edge)
		}
	}
	maps.DeleteFunc(t.recorded, func(window int64, _ bool) bool { return window < first })
}

// noteLive updates which processes run. It looks at them once a second.
func (r *Reporter) noteLive(now time.Time) {
	if now.Sub(r.lookedAt) < copyInterval {
		return
	}
	r.lookedAt = now
	if r.seen == nil {
		r.seen, r.ended = map[Process]Member{}, map[Process]bool{}
	}
	for _, m := range r.Peers.Live() {
		r.seen[m.Process] = m
	}
	for p, m := range r.seen {
		if now.Sub(m.Heard) > giveUpAfter+maxWait+r.Config.Window {
			delete(r.seen, p)
			delete(r.ended, p)
		}
	}
}

func (r *Reporter) noteHeld(fence external.Fence, now time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.Holding = ok
	if !ok {
		return
	}
	if fence.Token != r.held.token {
		r.former, r.held = r.held, holding{token: fence.Token}
	}
	r.held.at, r.status.Token = now, fence.Token
}

// readRow reads the row and reports whether it could.
func (r *Reporter) readRow(ctx context.Context, t *term) bool {
	if r.Now().Before(t.storeAfter) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := r.Store.Get(ctx, RowKey)
	if err == nil && entry.ModRevision != 0 && eraOf(entry.ModRevision) != eraOf(t.fence.Token) {
		err = errOtherEra
	}
	if err != nil {
		t.storeAfter = r.Now().Add(storeRetry)
		return false
	}
	exists := entry.ModRevision != 0
	row := Row{}
	if exists {
		if row, err = decodeRow(entry.Value); err != nil {
			// A row that cannot be read tells nothing of the reports that were sent.
			r.Log.WithField(telemetry.FieldEvent, "usage_row_invalid").WithError(err).Error("the record of usage reports in the store cannot be read and is replaced")
			row, exists = Row{}, false
		}
	}
	t.row, t.revision, t.read = row, entry.ModRevision, true
	t.lineage = lineageOf(&row, exists, t.fence.Token)
	t.recovered = t.lineage == lineageSame
	if exists && t.edge == 0 {
		// A fleet that was down for long has left out many windows, which are not counted one by one.
		t.edge = max(row.newest()+1, windowOf(t.settled.Add(-giveUpAfter), r.Config.Window))
	}
	if t.recovered {
		r.noteRow(t)
	}
	return true
}

var errOtherEra = errors.New("the store was restored since the duty was claimed")

// noteRow remembers the reports of the row and makes it the base of the term. Reports that were recorded are
// not collected any more.
func (r *Reporter) noteRow(t *term) {
	for _, report := range t.row.Reports {
		delete(t.windows, report.Window)
		t.recorded[report.Window] = true
		r.Ledger.Remember(SentReport{
			UsageReport: external.UsageReport{Window: report.Window, Counts: report.Counts},
			Token:       report.Token, Recorded: true, Accepted: report.Accepted,
		})
	}
	maps.DeleteFunc(t.accepted, func(window int64, _ bool) bool { return !t.row.waits(window) })
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held.token == t.fence.Token {
		r.held.hasRead, r.held.floor = true, max(r.held.floor, t.row.Floor)
	}
	r.status.Recorded = 0
	for _, report := range t.row.Reports {
		if !report.Accepted && !t.accepted[report.Window] {
			r.status.Recorded++
		}
	}
}

// commitRow writes the row, of which value is the encoded form, if it and the duty have not changed hands since it was read, and reports
// whether the store acknowledged that.
func (r *Reporter) commitRow(ctx context.Context, t *term, row Row, value []byte) bool {
	if r.Now().Before(t.storeAfter) || !r.permitted(t, 0) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ok, revision, err := r.Store.Commit(ctx,
		[]external.Condition{{Key: RowKey, ModRevision: t.revision}, {Key: DutyKey, ModRevision: t.fence.Token}},
		[]external.Write{{Key: RowKey, Value: value}})
	if err != nil || !ok || eraOf(revision) != eraOf(t.fence.Token) {
		// The row is read again, because the write may have taken effect or may be that of another holder.
		t.read, t.recovered, t.storeAfter = false, false, r.Now().Add(storeRetry)
		return false
	}
	t.row, t.revision = row, revision
	r.noteRow(t)
	return true
}

// recoverRow replaces a row that may lack reports which a former holder has sent.
func (r *Reporter) recoverRow(ctx context.Context, t *term) bool {
	if r.Now().Before(t.storeAfter) {
		return false
	}
	memories, all := r.collectMemories(ctx, t)
	t.recoveryRounds++
	if !all && t.recoveryRounds < recoveryRounds {
		t.storeAfter = r.Now().Add(askInterval)
		return false
	}
	recovery := recovery{token: t.fence.Token, lineage: t.lineage, row: t.row, settled: t.settled, length: r.Config.Window, memories: memories}
	if !r.Clock.Compared(r.Now()) {
		// By a slow clock, windows that a former holder has reported may not have ended yet.
		recovery.skew = maxSkew
	}
	row := recovery.resolve()
	value, ok := row.encode()
	for !ok && row.dropOldest() {
		value, ok = row.encode()
	}
	if !ok || !r.commitRow(ctx, t, row, value) {
		return false
	}
	if t.lineage == lineageMissing && t.edge == 0 {
		t.edge = row.Floor + 1
	}
	t.recovered, t.lineage = true, lineageSame
	r.Log.WithFields(logrus.Fields{
		telemetry.FieldEvent: "usage_recovered", "floor": row.Floor, "reports": len(row.Reports), "last_holder_known": recovery.lastHolder() != nil,
	}).Warn("the store has no complete record of usage reports; windows up to the floor are reported only if an instance remembers their reports")
	return true
}

// collectMemories asks all instances for the reports that they remember, and reports whether all answered.
func (r *Reporter) collectMemories(ctx context.Context, t *term) (memories []memory, all bool) {
	claimed := t.settledAt.Add(-r.Config.Lease)
	asked := r.Now()
	r.mu.Lock()
	former := r.former
	r.mu.Unlock()
	if !former.hasRead {
		former = holding{}
	}
	memories = append(memories, memory{
		sent: r.Ledger.Answer(Query{Sent: true}, r.date(), asked).Sent, floor: former.floor,
		heldToken: former.token, heldBeforeClaim: claimed.Sub(former.at),
	})
	all = true
	for _, a := range r.ask(ctx, r.Peers.Live(), func(Member) Query { return Query{Sent: true} }) {
		if a.err == nil {
			memories = append(memories, memory{
				sent: a.Sent, floor: a.HolderFloor, heldToken: a.HeldToken, heldBeforeClaim: claimed.Sub(asked.Add(-a.HeldAgo)),
			})
		} else if !errors.Is(a.err, ErrUnsupported) && !errors.Is(a.err, ErrEnded) {
			all = false
		}
	}
	return memories, all
}

type answered struct {
	Answer
	from Member
	err  error
}

// ask sends queries to members at the same time.
func (r *Reporter) ask(ctx context.Context, members []Member, query func(Member) Query) []answered {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answers := make([]answered, len(members))
	var calls sync.WaitGroup
	for i, m := range members {
		calls.Go(func() {
			answer, err := r.Peers.Collect(ctx, m, query(m))
			answers[i] = answered{Answer: answer, from: m, err: err}
		})
	}
	calls.Wait()
	return answers
}

// collect asks for the counts of the windows that are not recorded and whose time has come: first all
// instances for their own counts, then for copies of the counts of those that did not answer.
func (r *Reporter) collect(ctx context.Context, t *term) {
	now := r.Now()
	date := r.Clock.Date(now)
	windows := r.dueWindows(t, date, now)
	if len(windows) == 0 {
		return
	}
	everyone, copies := false, false
	for _, window := range windows {
		c := t.windows[window]
		if c == nil {
			c = &collection{parts: map[Process]*Part{}, resolved: map[Process]bool{}}
			t.windows[window] = c
		}
		c.asked = now
		c.rounds++
		everyone = everyone || c.rounds == 1
		copies = copies || c.rounds <= copyRounds || c.rounds%copyRoundEvery == 0
	}
	ctx, cancel := context.WithTimeout(ctx, r.askTimeout(windows, date))
	defer cancel()
	q := Query{Windows: windows, SettledThrough: t.row.Floor}
	missing := r.missing(t, windows, now, date)
	r.addAnswer(t, windows, answered{Answer: r.Ledger.Answer(q, date, now)})
	silent := map[Process]bool{}
	for _, a := range r.ask(ctx, r.members(missing, everyone), func(m Member) Query {
		q := q
		q.CopiesOnly = !missing[m.Process]
		return q
	}) {
		r.addAnswer(t, windows, a)
		silent[a.from.Process] = a.err != nil
	}
	lost := r.missing(t, windows, now, date)
	if len(lost) == 0 || !copies {
		return
	}
	for p := range lost {
		q.CopiesOf = append(q.CopiesOf, p.Instance)
	}
	q.CopiesOnly = true
	r.addAnswer(t, windows, answered{Answer: r.Ledger.Answer(q, date, now)})
	live := slices.DeleteFunc(r.Peers.Live(), func(m Member) bool { return silent[m.Process] })
	for _, a := range r.ask(ctx, live, func(Member) Query { return q }) {
		r.addAnswer(t, windows, a)
	}
	// Of a process that has ended, the copies are all that will ever be known.
	for _, window := range windows {
		for p := range lost {
			if r.ended[p] {
				t.windows[window].resolved[p] = true
			}
		}
	}
}

// askTimeout returns how long a round of queries may take: it ends when a window may be reported without instances that
// do not answer.
func (r *Reporter) askTimeout(windows []int64, date time.Time) time.Duration {
	timeout := callTimeout
	for _, window := range windows {
		left := r.Config.Due - reserve - date.Sub(windowStart(window+1, r.Config.Window))
		if left > 0 {
			timeout = min(timeout, max(left, minAskTimeout))
		}
	}
	return timeout
}

// missing returns the processes that ran in one of the windows and whose counts may be incomplete.
func (r *Reporter) missing(t *term, windows []int64, now, date time.Time) map[Process]bool {
	missing := map[Process]bool{}
	for _, window := range windows {
		for p := range r.expected(window, now, date) {
			if !t.windows[window].isResolved(p) {
				missing[p] = true
			}
		}
	}
	return missing
}

// members returns the members of the given processes, and with everyone all live ones.
func (r *Reporter) members(processes map[Process]bool, everyone bool) (members []Member) {
	if everyone {
		members = r.Peers.Live()
	}
	listed := map[Process]bool{r.Ledger.Self(): true}
	for _, m := range members {
		listed[m.Process] = true
	}
	for p := range processes {
		if m, ok := r.seen[p]; ok && !listed[p] {
			members = append(members, m)
		}
	}
	return members
}

// dueWindows returns the windows for whose counts instances are to be asked now.
func (r *Reporter) dueWindows(t *term, date, now time.Time) (due []int64) {
	for _, window := range r.openWindows(t, date) {
		c := t.windows[window]
		if c != nil && (c.report != nil || now.Sub(c.asked) < askInterval) {
			continue
		}
		if c != nil && r.progress(c, window, now, date).missing == 0 {
			continue
		}
		due = append(due, window)
	}
	return due
}

// firstOpen returns the first window that may still be reported.
func (r *Reporter) firstOpen(t *term, date time.Time) int64 {
	return max(t.row.Floor+1, windowOf(date.Add(-giveUpAfter), r.Config.Window))
}

// openWindows returns the windows that have ended, may be reported and are not recorded.
func (r *Reporter) openWindows(t *term, date time.Time) (open []int64) {
	for window := r.firstOpen(t, date); !date.Before(windowStart(window+1, r.Config.Window).Add(collectAfter)); window++ {
		if !t.row.has(window) {
			open = append(open, window)
		}
	}
	return open
}

// expected returns the processes that may have counted in a window, this one included. One that is silent may be cut
// off from this instance and serve callers.
func (r *Reporter) expected(window int64, now, date time.Time) map[Process]bool {
	processes := map[Process]bool{r.Ledger.Self(): true}
	sinceStart := date.Sub(windowStart(window, r.Config.Window))
	for p, m := range r.seen {
		silence := now.Sub(m.Heard) - sinceStart
		if silence <= 0 || (silence <= maxWait && !r.ended[p]) {
			processes[p] = true
		}
	}
	return processes
}

// addAnswer adds what an instance knows of windows.
func (r *Reporter) addAnswer(t *term, windows []int64, a answered) {
	byWindow := map[int64][]Part{}
	for _, part := range a.Parts {
		byWindow[part.Window] = append(byWindow[part.Window], part)
	}
	for _, window := range windows {
		t.windows[window].add(byWindow[window])
		if errors.Is(a.err, ErrUnsupported) {
			t.windows[window].resolved[a.from.Process] = true
		}
	}
	if errors.Is(a.err, ErrEnded) {
		r.ended[a.from.Process] = true
	}
	for _, p := range a.Ended {
		r.noteEnded(p)
	}
	if a.err != nil || a.Process.Instance == "" {
		return
	}
	if a.Process.Instance != a.from.Instance {
		// The address is that of another instance now.
		r.noteEnded(a.from.Process)
	}
	for p := range r.seen {
		if p.Instance == a.Process.Instance && p.Started < a.Process.Started {
			r.noteEnded(p)
		}
	}
}

func (r *Reporter) noteEnded(p Process) {
	if _, ok := r.seen[p]; ok {
		r.ended[p] = true
	}
}

func (r *Reporter) progress(c *collection, window int64, now, date time.Time) progress {
	p := progress{sinceEnd: date.Sub(windowStart(window+1, r.Config.Window))}
	for process := range r.expected(window, now, date) {
		p.live++
		if !c.isResolved(process) {
			p.missing++
		}
	}
	return p
}

// record adds the reports whose counts are final to the row. The duty API gets none before.
func (r *Reporter) record(ctx context.Context, t *term) {
	now := r.Now()
	if now.Before(t.storeAfter) || now.Before(t.recordAfter) {
		return
	}
	date := r.Clock.Date(now)
	givenUp := windowOf(date.Add(-giveUpAfter), r.Config.Window)
	row := t.row.clone()
	row.accept(func(window int64) bool { return t.accepted[window] })
	before := row
	var value []byte
	var added []*SentReport
	for _, window := range r.openWindows(t, date) {
		c := t.windows[window]
		if c == nil || !r.decide(t, c, window, now, date) {
			continue
		}
		next, ok := row.with(RowReport{Window: window, Token: c.report.Token, Counts: c.report.Counts}, givenUp)
		if !ok {
			continue
		}
		encoded, fits := next.encode()
		if !fits {
			// There is room once a report was accepted. Rows of many accounts take long to encode.
			t.recordAfter = now.Add(storeRetry)
			break
		}
		row, value, added = next, encoded, append(added, c.report)
	}
	if len(added) == 0 || !r.commitRow(ctx, t, row, value) {
		return
	}
	for _, report := range before.Reports {
		if !report.Accepted && !row.has(report.Window) {
			r.leaveOut(report.Window)
		}
	}
	for _, report := range added {
		report.Recorded = true
	}
	maps.DeleteFunc(t.windows, func(window int64, _ *collection) bool { return window < givenUp })
	r.inform(ctx, t, added)
}

// decide makes the report of a window if its counts are final, and reports whether it has one.
func (r *Reporter) decide(t *term, c *collection, window int64, now, date time.Time) bool {
	if c.report != nil {
		return true
	}
	if !c.coversFrom(windowStart(window, r.Config.Window)) {
		return false
	}
	p := r.progress(c, window, now, date)
	next := p.next(r.Config.Window, r.Config.Due)
	switch next {
	case actWait, actLeaveOut:
		return false
	case actReportWithout:
		r.count(OutcomeIncomplete)
		r.Log.WithFields(logrus.Fields{
			telemetry.FieldEvent: "usage_incomplete", "window": window, "missing": p.missing, "live": p.live, telemetry.FieldAge: p.sinceEnd.Milliseconds(),
		}).Warn("a usage report is made although counts of some instances are missing")
	}
	c.report = &SentReport{
		UsageReport: external.UsageReport{Window: window, Counts: c.counts()},
		Token:       t.fence.Token,
	}
	// What the store does not acknowledge may still be executed, and a later holder has to know of it.
	r.Ledger.Remember(*c.report)
	return true
}

// inform lets other instances remember recorded reports, and which earlier ones were accepted. It is of no
// consequence for the reports if none can be reached: after a restore of the store, windows whose reports nobody
// remembers are left out.
func (r *Reporter) inform(ctx context.Context, t *term, reports []*SentReport) {
	ctx, cancel := context.WithTimeout(ctx, informTimeout)
	defer cancel()
	var sent []SentReport
	for _, report := range t.row.Reports {
		if report.Accepted {
			sent = append(sent, SentReport{UsageReport: external.UsageReport{Window: report.Window}, Token: report.Token, Recorded: true, Accepted: true})
		}
	}
	for _, report := range reports {
		sent = append(sent, *report)
	}
	r.mu.Lock()
	targets := r.copyTargets()
	r.mu.Unlock()
	if len(targets) > informed {
		// One of the region and the one of another region.
		targets = []Member{targets[0], targets[len(targets)-1]}
	}
	var sends sync.WaitGroup
	for _, m := range targets {
		sends.Go(func() { _ = r.Peers.Copy(ctx, m, Copy{From: r.Ledger.Self(), Sent: sent}) })
	}
	sends.Wait()
}

// send sends recorded reports that were not accepted yet: those that are not late first, each group in the
// order of the windows.
func (r *Reporter) send(ctx context.Context, t *term) {
	date := r.date()
	var late, inTime []RowReport
	for _, report := range t.row.Reports {
		if report.Accepted || t.accepted[report.Window] {
			continue
		}
		if date.Sub(windowStart(report.Window+1, r.Config.Window)) > r.Config.Due {
			late = append(late, report)
		} else {
			inTime = append(inTime, report)
		}
	}
	for _, report := range append(inTime, late...) {
		if r.Now().Before(t.apiAfter) || !t.read || ctx.Err() != nil {
			return
		}
		if !r.Now().Before(t.sendAfter[report.Window].at) {
			r.sendReport(ctx, t, report)
		}
	}
}

func (r *Reporter) sendReport(ctx context.Context, t *term, report RowReport) {
	counts := maps.Clone(report.Counts)
	if counts == nil {
		counts = map[string]int64{}
	}
	// The deadline is by the clock of the permit, so that the API client detects a suspension after the check.
	callCtx, cancel := context.WithDeadline(ctx, r.Now().Add(r.Config.sendTimeout()))
	defer cancel()
	// The clock is read last: a pause before this line is detected.
	if !r.permitted(t, r.Config.sendTimeout()) {
		t.apiAfter = r.Now().Add(stepInterval)
		return
	}
	err := r.API.ReportUsage(callCtx, t.fence, external.UsageReport{Window: report.Window, Counts: counts})
	if r.Outcome != nil {
		r.Outcome(err)
	}
	if err == nil {
		r.accepted(t, report)
		return
	}
	var limited *external.RateLimitedError
	switch {
	case errors.As(err, &limited):
		t.apiAfter = r.Now().Add(max(limited.RetryAfter, rateRetry))
	case errors.Is(err, external.ErrStaleFence):
		t.apiAfter = r.Now().Add(r.Config.Lease)
	case errors.Is(err, external.ErrUnavailable) || ctx.Err() != nil:
		t.apiAfter = r.Now().Add(storeRetry)
	default:
		// A report that is rejected must not keep others from being sent.
		retry := t.sendAfter[report.Window]
		retry.attempts++
		retry.at = r.Now().Add(min(time.Duration(retry.attempts)*rateRetry, r.Config.Due))
		t.sendAfter[report.Window] = retry
	}
	r.Log.WithFields(logrus.Fields{
		telemetry.FieldEvent: "usage_report_failed", "window": report.Window, "token": t.fence.Token,
	}).WithError(err).Warn("a usage report was not accepted, or its response was lost; it is sent again with the same counts")
}

func (r *Reporter) accepted(t *term, report RowReport) {
	delay := r.date().Sub(windowStart(report.Window+1, r.Config.Window))
	t.accepted[report.Window] = true
	delete(t.sendAfter, report.Window)
	r.Ledger.Remember(SentReport{UsageReport: external.UsageReport{Window: report.Window}, Token: report.Token, Recorded: true, Accepted: true})
	outcome := OutcomeInTime
	if delay > r.Config.Due {
		outcome = OutcomeLate
	}
	r.count(outcome)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.Recorded = max(r.status.Recorded-1, 0)
	if report.Window >= r.status.LastWindow {
		r.status.LastWindow, r.status.LastDelay = report.Window, delay
	}
	r.Log.WithFields(logrus.Fields{
		telemetry.FieldEvent: "usage_reported", "window": report.Window, "accounts": len(report.Counts), "requests": sum(report.Counts),
		"token": t.fence.Token, telemetry.FieldAge: delay.Milliseconds(),
	}).Info("the duty API accepted a usage report")
}
