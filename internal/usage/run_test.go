package usage

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/clock"
	"heatherloom/internal/external"
)

// fleet connects the reporters of one process, which run at the same time.
type fleet struct {
	mu       sync.Mutex
	members  []*Reporter
	row      external.Entry
	accepted map[int64]map[string]int64
}

type fleetPeers struct {
	*fleet
	self *Reporter
}

func (f fleetPeers) Live() (members []Member) {
	for _, r := range f.members {
		if r != f.self {
			members = append(members, Member{Process: r.Ledger.Self(), Heard: clock.Now()})
		}
	}
	return members
}

func (f fleetPeers) CopyTargets() []Member { return f.Live() }

func (f fleetPeers) Copy(_ context.Context, to Member, c Copy) error {
	f.members[to.Started].Receive(c)
	return nil
}

func (f fleetPeers) Collect(_ context.Context, from Member, q Query) (Answer, error) {
	return f.members[from.Started].Answer(q), nil
}

func (f *fleet) Get(context.Context, string) (external.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.row, nil
}

func (f *fleet) Commit(_ context.Context, _ []external.Condition, writes []external.Write) (bool, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.row = external.Entry{Value: writes[0].Value, ModRevision: f.row.ModRevision + 1}
	return true, f.row.ModRevision, nil
}

func (f *fleet) ReportUsage(_ context.Context, _ external.Fence, r external.UsageReport) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accepted[r.Window] = r.Counts
	return nil
}

// Guards against data races, and against counts that are lost or doubled while requests, copies and queries run at the
// same time.
func TestReportersRunAtTheSameTime(t *testing.T) {
	const window = 500 * time.Millisecond
	f := &fleet{accepted: map[int64]map[string]int64{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range 3 {
		r := &Reporter{
			Config: Config{Window: window, Due: 5 * time.Second, Lease: time.Second}, Clock: NewClock(), Now: clock.Now,
			Ledger: NewLedger(Process{Instance: fmt.Sprint(i), Started: int64(i)}, window), Store: f, API: f, Log: logrus.NewEntry(log),
			Permit: func() (external.Fence, time.Time, bool) {
				return external.Fence{Holder: "0", Token: 1}, clock.Now().Add(2 * time.Second), i == 0
			},
		}
		r.Peers = fleetPeers{fleet: f, self: r}
		// Without a comparison, the windows of the first maxSkew are left out.
		r.Clock.Observe("other", clock.Now(), clock.Now(), 0)
		f.members = append(f.members, r)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running, counting sync.WaitGroup
	for _, r := range f.members {
		running.Go(func() { r.Run(ctx) })
	}
	first := windowOf(clock.Now(), window) + 2
	clock.Sleep(ctx, windowStart(first, window).Sub(clock.Now().Round(0)))
	const requests = 1000
	for _, r := range f.members {
		for range 4 {
			counting.Go(func() {
				for range requests {
					r.Count("x")
					clock.Sleep(ctx, time.Millisecond)
				}
			})
		}
	}
	counting.Wait()
	last := windowOf(clock.Now(), window)
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		f.members[0].Status()
		f.mu.Lock()
		_, done := f.accepted[last]
		f.mu.Unlock()
		if done || time.Now().After(deadline) {
			break
		}
	}
	cancel()
	running.Wait()
	var total int64
	for window := first; window <= last; window++ {
		total += f.accepted[window]["x"]
	}
	if total != 3*4*requests {
		t.Errorf("%d requests reported in windows %d to %d, want %d; status %+v", total, first, last, 3*4*requests, f.members[0].Status())
	}
}

// BenchmarkHolder measures what a holder does with the answers of a window at 67,000 requests a second, and
// BenchmarkCopies what an instance does for a copy each second.
func BenchmarkHolder(b *testing.B) {
	for _, c := range benchFleets {
		b.Run(c.String(), func(b *testing.B) {
			parts := make([]Part, c.instances)
			for i := range parts {
				l := c.ledger(fmt.Sprint("i", i), at(100, 0))
				parts[i] = l.Own(100, at(102, 0))
			}
			b.ReportAllocs()
			for b.Loop() {
				col := &collection{parts: map[Process]*Part{}, resolved: map[Process]bool{}}
				for i := range parts {
					col.add(parts[i : i+1])
				}
				row, _ := (&Row{}).with(RowReport{Window: 100, Counts: col.counts()}, 0)
				if _, ok := row.encode(); !ok {
					b.Fatal("the row is too large")
				}
			}
		})
	}
}

func BenchmarkCopies(b *testing.B) {
	for _, c := range benchFleets {
		b.Run(c.String(), func(b *testing.B) {
			l := c.ledger("self", at(100, 0))
			to := Process{Instance: "b"}
			_, mark := l.Changes(to, at(100, 0))
			l.Acknowledge(to, mark)
			accounts := c.names()
			b.ReportAllocs()
			for b.Loop() {
				for range benchRequests / c.instances {
					l.Record(accounts[rand.IntN(len(accounts))], at(100, 0))
				}
				_, mark := l.Changes(to, at(100, 0))
				l.Acknowledge(to, mark)
			}
		})
	}
}

const benchRequests = 67_000

type benchFleet struct{ instances, accounts int }

var benchFleets = []benchFleet{{66, 16}, {66, 44_000}, {295, 16}, {295, 44_000}, {920, 16}, {920, 44_000}}

func (f benchFleet) String() string { return fmt.Sprintf("%dx%d", f.instances, f.accounts) }

func (f benchFleet) names() []string {
	names := make([]string, f.accounts)
	for i := range names {
		names[i] = fmt.Sprintf("huka%05d", i)
	}
	return names
}

// ledger returns a ledger with an instance's part of the requests of a window.
func (f benchFleet) ledger(id string, at time.Time) *Ledger {
	l, names := NewLedger(Process{Instance: id, Started: 1}, testWindow), f.names()
	for range benchRequests * int(testWindow/time.Second) / f.instances {
		l.Record(names[rand.IntN(len(names))], at)
	}
	return l
}
