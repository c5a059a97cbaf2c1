package usage

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/external"
)

const (
	simTick  = 100 * time.Millisecond
	simDue   = 10 * time.Second
	simLease = 3 * time.Second
	// simValidity is how long a holder may act after its last renewal.
	simValidity = 2500 * time.Millisecond
	simAccounts = 5
)

var errSim = errors.New("no answer")

// world simulates a fleet, the store and the duty API, on one clock. Calls take no time.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	members []*simMember
	store   simStore
	api     simAPI
	// truth holds the requests that ran, by window and account; lost those of instances that were killed within a
	// second.
	truth map[int64]map[string]int64
	// cut separates instances of different groups.
	cut     func(a, b *simMember) bool
	nextTag int64
	// noise makes each holder collect other counts, so that only records keep reports from differing.
	noise bool
	// vacantUntil is until when no instance claims the duty.
	vacantUntil time.Time
}

type simMember struct {
	*Reporter
	w                 *world
	ahead             time.Duration
	up, frozen        bool
	old, drains       bool
	fence             external.Fence
	claimed, validEnd time.Time
}

type simStore struct {
	down            bool
	era, revision   int64
	rows            map[string]external.Entry
	holder          *simMember
	backup          map[string]external.Entry
	lost            bool
	commits, losses int
	// delayed are commits that are executed later, if their conditions still hold.
	delayed []func()
}

type simAPI struct {
	mu       sync.Mutex
	fail     func() error
	accepted map[int64]map[string]int64
	at       map[int64]time.Time
	tokens   int64
	calls    int
	problems []string
}

func newWorld(t *testing.T, seed uint64, members int) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: at(1000, 1700*time.Millisecond), truth: map[int64]map[string]int64{},
		store: simStore{era: 1, revision: 10, rows: map[string]external.Entry{}},
		api:   simAPI{accepted: map[int64]map[string]int64{}, at: map[int64]time.Time{}},
		cut:   func(_, _ *simMember) bool { return false },
	}
	for i := range members {
		w.members = append(w.members, w.newMember(fmt.Sprint("i", i)))
	}
	return w
}

func (w *world) newMember(id string) *simMember {
	m := &simMember{w: w, up: true}
	log := logrus.New()
	log.SetOutput(io.Discard)
	w.nextTag++ // Each process has a start time of its own.
	m.Reporter = &Reporter{
		Config: Config{Window: testWindow, Due: simDue, Lease: simLease},
		Ledger: NewLedger(Process{Instance: id, Started: w.now.UnixNano() + w.nextTag}, testWindow), Clock: NewClock(),
		Permit: m.permit, Store: m, API: m, Peers: m, Log: logrus.NewEntry(log),
		Now: func() time.Time { return w.now.Add(m.ahead) },
	}
	return m
}

func (m *simMember) permit() (external.Fence, time.Time, bool) {
	ok := m.fence.Token != 0 && !m.w.now.Before(m.claimed.Add(simLease)) && m.w.now.Before(m.validEnd)
	return m.fence, m.validEnd.Add(m.ahead), ok
}

// Live implements Peers.
func (m *simMember) Live() (live []Member) {
	for _, o := range m.w.members {
		if o != m && !m.w.unheard(m, o) {
			live = append(live, Member{Process: o.Ledger.Self(), Address: "x", Heard: m.Now()})
		}
	}
	return live
}

func (w *world) unheard(m, o *simMember) bool { return !o.up || o.frozen || w.cut(m, o) }

// CopyTargets implements Peers.
func (m *simMember) CopyTargets() []Member {
	live := m.Live()
	at := slices.Index(m.w.members, m)
	if len(live) == 0 {
		return nil
	}
	at %= len(live)
	return append(slices.Clone(live[at:]), live[:at]...)
}

func (m *simMember) reach(p Process) (*simMember, error) {
	for _, o := range m.w.members {
		if o.Ledger.Self() != p {
			continue
		}
		switch {
		case m.w.cut(m, o) || o.frozen:
			return nil, errSim
		case !o.up:
			return nil, ErrEnded
		case o.old:
			return nil, ErrUnsupported
		}
		return o, nil
	}
	return nil, ErrEnded
}

// Copy implements Peers.
func (m *simMember) Copy(_ context.Context, to Member, c Copy) error {
	o, err := m.reach(to.Process)
	if err == nil {
		o.Receive(c)
	}
	return err
}

// Collect implements Peers.
func (m *simMember) Collect(_ context.Context, from Member, q Query) (Answer, error) {
	o, err := m.reach(from.Process)
	if err != nil {
		return Answer{}, err
	}
	answer := o.Answer(q)
	if m.w.noise {
		for i := range answer.Parts {
			answer.Parts[i].Counts["noise"] += m.w.noiseOf(m)
		}
	}
	return answer, nil
}

// noiseOf returns what a holder adds to the counts that it collects.
func (w *world) noiseOf(m *simMember) int64 { return m.fence.Token<<20 + m.Ledger.Self().Started }

// Get implements Store.
func (m *simMember) Get(_ context.Context, key string) (external.Entry, error) {
	s := &m.w.store
	if s.down {
		return external.Entry{}, errSim
	}
	entry := s.rows[key]
	if entry.ModRevision != 0 {
		entry.ModRevision |= s.era << eraShift
	}
	return entry, nil
}

// Commit implements Store. A lost call is executed at once, later or not at all, without an answer.
func (m *simMember) Commit(_ context.Context, conditions []external.Condition, writes []external.Write) (bool, int64, error) {
	s := &m.w.store
	if s.down {
		return false, 0, errSim
	}
	if !s.lost || m.w.rng.IntN(3) > 0 {
		ok := s.commit(conditions, writes)
		return ok, s.era<<eraShift | s.revision, nil
	}
	s.losses++
	commit := func() { s.commit(conditions, writes) }
	switch m.w.rng.IntN(3) {
	case 0:
		commit()
	case 1:
		s.delayed = append(s.delayed, commit)
	}
	return false, 0, errSim
}

func (s *simStore) commit(conditions []external.Condition, writes []external.Write) bool {
	for _, c := range conditions {
		have := s.rows[c.Key].ModRevision
		if have != 0 {
			have |= s.era << eraShift
		}
		if have != c.ModRevision {
			return false
		}
	}
	s.commits++
	s.revision++
	for _, write := range writes {
		s.rows[write.Key] = external.Entry{Key: write.Key, Value: write.Value, ModRevision: s.revision}
	}
	return true
}

// ReportUsage implements API. It checks rule R1, that tokens never decrease and that permits last for the calls.
func (m *simMember) ReportUsage(ctx context.Context, f external.Fence, r external.UsageReport) error {
	a := &m.w.api
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	if deadline, ok := ctx.Deadline(); !ok || !deadline.Equal(m.Now().Add(m.Config.sendTimeout())) {
		a.problems = append(a.problems, "a call whose deadline is not by the clock of the permit")
	}
	if m.validEnd.Sub(m.w.now) < m.Config.sendTimeout() {
		a.problems = append(a.problems, "a call whose permit may end before it")
	}
	var err error
	if a.fail != nil {
		err = a.fail()
	}
	if err != nil && !errors.Is(err, external.ErrUnavailable) {
		return err
	}
	if errors.Is(err, external.ErrUnavailable) && m.w.rng.IntN(2) == 0 {
		return err
	}
	if f.Token < a.tokens {
		a.problems = append(a.problems, fmt.Sprintf("token %d after %d", f.Token, a.tokens))
	}
	a.tokens = f.Token
	if before, ok := a.accepted[r.Window]; ok && !maps.Equal(before, r.Counts) {
		a.problems = append(a.problems, fmt.Sprintf("window %d: %v after %v", r.Window, r.Counts, before))
	}
	if _, ok := a.accepted[r.Window]; !ok {
		a.accepted[r.Window], a.at[r.Window] = r.Counts, m.w.now
	}
	return err
}

// run advances the time. requests is the number of requests of an instance per tick.
func (w *world) run(d time.Duration, requests int) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(simTick) {
		w.elect()
		for _, m := range w.members {
			if !m.up || m.frozen || m.old {
				continue
			}
			if !m.drains {
				for range requests {
					m.run(fmt.Sprint("account", w.rng.IntN(simAccounts)))
				}
			}
			m.step(context.Background())
			if w.now.UnixMilli()%1000 < simTick.Milliseconds() {
				m.copyCounts(context.Background())
				for _, o := range w.members {
					if o != m && !w.unheard(m, o) {
						m.Clock.Observe(o.Ledger.Self().Instance, o.Now(), m.Now(), 0)
					}
				}
			}
		}
		if s := &w.store; len(s.delayed) > 0 && w.rng.IntN(20) == 0 {
			s.delayed[0]()
			s.delayed = s.delayed[1:]
		}
		if w.now.UnixMilli()%7000 < simTick.Milliseconds() {
			w.store.backup = maps.Clone(w.store.rows)
		}
	}
}

// run runs a request.
func (m *simMember) run(account string) {
	window := windowOf(m.w.now, testWindow)
	if m.w.truth[window] == nil {
		m.w.truth[window] = map[string]int64{}
	}
	m.w.truth[window][account]++
	m.Count(account)
}

// elect gives the duty to an instance when it is vacant, and renews it.
func (w *world) elect() {
	s := &w.store
	if s.down || w.now.Before(w.vacantUntil) {
		return
	}
	if h := s.holder; h != nil && h.up && !h.frozen && w.now.Before(h.validEnd) {
		h.validEnd = w.now.Add(simValidity)
		return
	}
	if h := s.holder; h != nil && w.now.Before(h.validEnd) {
		return
	}
	var candidates []*simMember
	for _, m := range w.members {
		if m.up && !m.frozen && !m.old && !m.drains {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return
	}
	m := candidates[w.rng.IntN(len(candidates))]
	s.revision++
	s.rows[DutyKey] = external.Entry{Key: DutyKey, ModRevision: s.revision}
	m.fence = external.Fence{Holder: m.Ledger.Self().Instance, Token: s.era<<eraShift | s.revision}
	m.claimed, m.validEnd, s.holder = w.now, w.now.Add(simValidity), m
}

// restore replaces the store by its last backup.
func (w *world) restore() {
	w.store.era++
	w.store.rows = maps.Clone(w.store.backup)
	delete(w.store.rows, DutyKey)
	w.store.revision = 10
	for _, entry := range w.store.rows {
		w.store.revision = max(w.store.revision, entry.ModRevision)
	}
	// The holder learns of it with its next renewal, and may be without a connection to the store until then.
	if h := w.store.holder; h != nil && h.validEnd.After(w.now) {
		h.validEnd = w.now.Add(time.Duration(w.rng.Int64N(int64(h.validEnd.Sub(w.now)))))
	}
	w.store.holder = nil
	w.vacantUntil = w.now.Add(time.Duration(w.rng.IntN(30)*w.rng.IntN(2)) * simTick)
}

func (m *simMember) kill() { m.up, m.fence = false, external.Fence{} }

// check returns how many windows between two were accepted in time and exactly, in time within 5%, later, and not at
// all, and fails if a rule was broken.
func (w *world) check(first, last int64) (exact, near, other, none int) {
	w.t.Helper()
	for _, problem := range w.api.problems {
		w.t.Error(problem)
	}
	for window := first; window <= last; window++ {
		got, ok := w.api.accepted[window]
		inTime := ok && w.api.at[window].Sub(windowStart(window+1, testWindow)) <= simDue
		switch {
		case !ok:
			none++
		case inTime && maps.Equal(got, w.truth[window]):
			exact++
		case inTime && w.near(window):
			near++
		default:
			other++
		}
	}
	return exact, near, other, none
}

// near reports whether the accepted counts differ by at most 5% for each account.
func (w *world) near(window int64) bool {
	for account, want := range w.truth[window] {
		if got := w.api.accepted[window][account]; math.Abs(float64(got-want)) > 0.05*float64(want) {
			return false
		}
	}
	return true
}

// window returns the number of the current window.
func (w *world) window() int64 { return windowOf(w.now, testWindow) }

// Guards against wrong or late counts while nothing fails, and against calls that are not needed.
func TestAllWindowsAreReportedExactly(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, 6)
	w.run(100*time.Second, 3)
	last := w.window() - 3
	exact, _, _, _ := w.check(1001, last)
	if exact != int(last-1000) || w.store.commits > int(last)-1000+4 || w.api.calls > len(w.api.accepted) {
		t.Errorf("%d of %d windows exact, %d commits, %d calls", exact, last-1000, w.store.commits, w.api.calls)
	}
	if _, ok := w.api.accepted[1000]; ok {
		t.Error("the window in which the first holder settled was reported")
	}
}

// Guards against windows without requests that are not reported.
func TestWindowsWithoutRequestsAreReported(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, 3)
	w.run(60*time.Second, 0)
	if exact, _, _, none := w.check(1002, w.window()-3); exact == 0 || none > 0 {
		t.Errorf("%d reported, %d not", exact, none)
	}
}

// Guards against counts that move to other windows because the clocks of instances are wrong.
func TestCountsOfInstancesWithWrongClocks(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 3, 7)
	for i, ahead := range []time.Duration{0, 50 * time.Millisecond, -60 * time.Millisecond, 10 * time.Second, -8 * time.Second, 20 * time.Millisecond, 0} {
		w.members[i].ahead = ahead
	}
	w.run(5*time.Second, 0)
	w.run(100*time.Second, 20)
	if exact, near, other, none := w.check(1004, w.window()-3); other+none > 0 {
		t.Errorf("%d exact, %d near, %d other, %d not reported", exact, near, other, none)
	}
}

// Guards against reports that are late, wrong or sent twice with other counts after instances were killed.
func TestMembersAreKilled(t *testing.T) {
	t.Parallel()
	var exact, near, other, none int
	for seed := range uint64(5) {
		w := newWorld(t, seed, 24)
		w.run(15*time.Second, 4)
		first := w.window()
		for range 8 {
			w.run(time.Duration(4000+w.rng.IntN(4000))*time.Millisecond, 4)
			i := w.rng.IntN(len(w.members))
			id := w.members[i].Ledger.Self().Instance
			w.members[i].kill()
			w.run(time.Duration(w.rng.IntN(3000))*time.Millisecond, 4)
			w.members = append(w.members, w.newMember(id))
			w.members = slices.Delete(w.members, i, i+1)
		}
		w.run(30*time.Second, 4)
		e, n, o, x := w.check(first, w.window()-6)
		exact, near, other, none = exact+e, near+n, other+o, none+x
	}
	t.Logf("%d exact, %d within 5%%, %d other, %d not reported", exact, near, other, none)
	if total := exact + near + other + none; (other+none)*20 > total || none > 0 {
		t.Errorf("%d of %d windows are late or wrong, and %d not reported", other, total, none)
	}
}

// Guards against a window that waits for an instance which drained and has sent its last counts.
func TestAnInstanceThatStopsIsNotWaitedFor(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 5, 4)
	w.run(22*time.Second, 3)
	leaving := w.members[1]
	if w.store.holder == leaving {
		leaving = w.members[2]
	}
	leaving.drains = true
	w.run(time.Second, 3)
	leaving.Flush(context.Background())
	leaving.up = false
	w.cut = func(_, b *simMember) bool { return b == leaving }
	first := w.window() - 2
	w.run(40*time.Second, 3)
	if exact, near, other, none := w.check(first, w.window()-3); near+other+none > 0 {
		t.Errorf("%d exact, %d near, %d other, %d not reported", exact, near, other, none)
	}
}

// Guards against reports that lack the counts of instances which are cut off from the holder for some seconds, and against
// reports that wait for ever.
func TestMissingMembers(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		members, cut int
		away         time.Duration
		late, wrong  bool
	}{
		{6, 1, 20 * time.Second, true, false},
		{6, 1, 150 * time.Second, true, true},
		{60, 1, 20 * time.Second, false, true},
	} {
		w := newWorld(t, 9, c.members)
		w.run(20*time.Second, 2)
		away := map[*simMember]bool{}
		for _, m := range w.members {
			if m != w.store.holder && len(away) < c.cut {
				away[m] = true
			}
		}
		w.cut = func(a, b *simMember) bool { return away[a] != away[b] }
		first := w.window()
		w.run(c.away, 2)
		w.cut = func(_, _ *simMember) bool { return false }
		w.run(80*time.Second, 2)
		late, wrong := false, false
		for window := first; window < first+int64(c.away/testWindow); window++ {
			counts, ok := w.api.accepted[window]
			if !ok {
				t.Errorf("%+v: window %d was not reported", c, window-first)
			}
			late = late || w.api.at[window].Sub(windowStart(window+1, testWindow)) > simDue
			wrong = wrong || !maps.Equal(counts, w.truth[window])
		}
		w.check(0, -1)
		if late != c.late || wrong != c.wrong {
			t.Errorf("%+v: late %t, wrong %t", c, late, wrong)
		}
	}
}

// Guards against a second report with other counts while the API answers late or not, rejects calls or limits their rate,
// and writes to the store are lost.
func TestAnAPIThatAnswersLate(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		w := newWorld(t, seed, 5)
		w.noise = seed%2 == 0
		w.run(20*time.Second, 2)
		first := w.window()
		w.store.lost = true
		for _, err := range []error{external.ErrUnavailable, context.DeadlineExceeded, &external.RateLimitedError{RetryAfter: 2 * time.Second}, errSim, nil} {
			w.api.fail = func() error {
				if w.rng.IntN(3) > 0 {
					return err
				}
				return nil
			}
			w.run(15*time.Second, 2)
			w.store.holder.validEnd = w.now // Another instance takes over.
		}
		w.run(20*time.Second, 2)
		w.store.lost, w.api.fail = false, nil
		w.run(30*time.Second, 2)
		if _, _, late, _ := w.check(w.window()-4, w.window()-3); late > 0 {
			t.Errorf("seed %d: reports are late after the last lost write", seed)
		}
		if exact, near, other, none := w.check(first, w.window()-4); none > 0 || (!w.noise && near > 0) {
			t.Errorf("seed %d: %d exact, %d near, %d late, %d not reported", seed, exact, near, other, none)
		}
	}
}

// Guards against a duty API that was down for minutes and gets no reports, or other ones, after that.
func TestAnAPIThatIsDownForMinutes(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 4, 4)
	w.run(20*time.Second, 2)
	w.api.fail = func() error { return errSim }
	w.run(200*time.Second, 2)
	w.api.fail = nil
	w.run(10*time.Second, 2)
	first := w.window() - 1
	w.run(40*time.Second, 2)
	if exact, near, other, none := w.check(first, w.window()-3); near+other+none > 0 {
		t.Errorf("%d exact, %d near, %d other, %d not reported after the outage", exact, near, other, none)
	}
	if got := w.store.holder.Status().Windows[OutcomeLeftOut]; got == 0 {
		t.Error("no window is counted as left out")
	}
}

// Guards against reports with other counts after the store was restored from a backup (R1), and against a fleet that
// reports nothing after that.
func TestARestoredStore(t *testing.T) {
	t.Parallel()
	var exact, near, other, none int
	for seed := range uint64(40) {
		w := newWorld(t, seed, 6)
		w.noise = seed%2 == 0
		w.run(time.Duration(20+w.rng.IntN(20))*time.Second, 2)
		first := w.window() - 4
		for range 3 {
			w.store.lost = w.rng.IntN(2) == 0
			if w.rng.IntN(3) == 0 {
				w.api.fail = func() error { return external.ErrUnavailable }
			}
			w.run(time.Duration(w.rng.IntN(12_000))*time.Millisecond, 2)
			if h := w.store.holder; h != nil && w.rng.IntN(2) == 0 {
				h.validEnd = w.now // Another instance takes over.
				w.run(time.Duration(3000+w.rng.IntN(6_000))*time.Millisecond, 2)
			}
			if h := w.store.holder; h != nil && w.rng.IntN(2) == 0 {
				h.kill()
			}
			w.run(time.Duration(w.rng.IntN(4))*simTick, 2)
			if w.rng.IntN(4) == 0 {
				w.store.down = true
				w.run(time.Duration(w.rng.IntN(8_000))*time.Millisecond, 2)
				w.store.down = false
			}
			w.restore()
			w.api.fail = nil
		}
		w.store.lost = false
		w.run(60*time.Second, 2)
		e, n, o, x := w.check(first, w.window()-9)
		if !w.noise {
			exact, near, other, none = exact+e, near+n, other+o, none+x
		}
		if _, _, _, unreported := w.check(w.window()-8, w.window()-3); unreported > 0 {
			t.Errorf("seed %d: %d windows after the restores are not reported", seed, unreported)
		}
	}
	t.Logf("around three restores: %d exact, %d within 5%%, %d late or wrong, %d left out", exact, near, other, none)
}

// Guards against windows that are reported as empty because all instances lost their counts.
func TestAllInstancesRestart(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2, 4)
	w.run(33*time.Second, 2)
	for i, m := range w.members {
		m.kill()
		w.members[i] = w.newMember(m.Ledger.Self().Instance)
	}
	lost := w.window()
	w.run(60*time.Second, 2)
	if exact, _, _, _ := w.check(lost+1, w.window()-3); exact != int(w.window()-3-lost) {
		t.Errorf("%d windows after the restart are exact, want all", exact)
	}
	if _, _, wrong, none := w.check(lost-2, lost); wrong > 0 || none == 0 {
		t.Errorf("%d windows before the restart are wrong, %d are left out", wrong, none)
	}
}

// Guards against waiting for instances of an earlier release, which count nothing.
func TestInstancesOfAnEarlierRelease(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2, 6)
	w.members[0].old, w.members[5].old = true, true
	w.run(60*time.Second, 2)
	if exact, near, other, none := w.check(1002, w.window()-3); near+other+none > 0 {
		t.Errorf("%d exact, %d near, %d other, %d not reported", exact, near, other, none)
	}
}

// Guards against a former holder that is trusted to know all reports although it never read the record of them (R1).
func TestALastHolderThatNeverReadTheRecord(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 3, 4)
	w.noise = true
	w.run(40*time.Second, 2)
	w.store.backup = maps.Clone(w.store.rows)
	backup := w.store.backup
	w.run(12*time.Second, 2)
	sender := w.store.holder
	sender.kill()
	for _, m := range w.members {
		m.Ledger.sent = map[int64][]SentReport{} // Nobody remembers.
	}
	w.run(3*time.Second, 2)
	last := w.store.holder
	for last == sender {
		w.run(simTick, 2)
		last = w.store.holder
	}
	// The new holder settles, and cannot read the store from then on.
	for _, _, ok := last.permit(); !ok; _, _, ok = last.permit() {
		w.run(simTick, 2)
		last.validEnd = w.now.Add(simValidity)
		w.store.down = true
	}
	w.run(time.Second, 2)
	w.store.down, w.store.backup = false, backup
	w.restore()
	w.vacantUntil = time.Time{}
	w.run(40*time.Second, 2)
	w.check(0, -1)
	if last.former.token == 0 && last.held.token == 0 {
		t.Error("no instance held the duty without the record")
	}
}

// Guards against a holder with a slow clock that takes windows which a former holder may have reported for ones that
// have not ended yet, and reports them with other counts after the store was restored (R1).
func TestARestoredStoreAndAHolderWithASlowClock(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		w := newWorld(t, seed, 4)
		w.noise = true
		slow := w.members[3]
		slow.ahead, slow.drains = -10*time.Second, true
		w.cut = func(a, b *simMember) bool { return a == slow || b == slow }
		w.run(40*time.Second, 2)
		backup := maps.Clone(w.store.rows)
		w.run(12*time.Second+time.Duration(w.rng.IntN(50))*simTick, 2)
		w.store.backup = backup
		w.restore()
		w.vacantUntil = time.Time{}
		for _, m := range w.members {
			m.drains = m != slow
		}
		before := w.api.calls
		w.run(90*time.Second, 2)
		w.check(0, -1)
		if w.api.calls == before {
			t.Errorf("seed %d: the new holder reports nothing", seed)
		}
	}
}

// Guards against a holder that never reports because its permits are shorter than the usual timeout of a call.
func TestPermitsOfAShortLease(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 5, 3)
	for _, m := range w.members {
		m.Config.CallTimeout = 300 * time.Millisecond
		m.Permit = func() (external.Fence, time.Time, bool) {
			fence, _, ok := m.permit()
			return fence, m.Now().Add(500 * time.Millisecond), ok
		}
	}
	w.run(60*time.Second, 2)
	if exact, near, other, none := w.check(1002, w.window()-3); near+other+none > 0 {
		t.Errorf("%d exact, %d near, %d other, %d not reported", exact, near, other, none)
	}
}

// Guards against a holder that is frozen right after a look at its permit and then counts as one that held the duty until
// it was unfrozen: after a restore of the store it would be trusted to know all reports (R1).
func TestAFrozenHolderDoesNotCountAsTheLastOne(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 4, 1)
	w.run(10*time.Second, 2)
	m := w.members[0]
	var until time.Time
	m.Permit = func() (external.Fence, time.Time, bool) {
		fence, end, ok := m.permit()
		until, w.now = end, w.now.Add(10*time.Second)
		return fence, end, ok
	}
	if m.permitted(m.term, 0) || m.held.token == 0 || m.held.at.After(until) {
		t.Errorf("it held token %d until %v, and its permit ended at %v", m.held.token, m.held.at, until)
	}
}
