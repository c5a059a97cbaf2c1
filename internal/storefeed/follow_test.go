package storefeed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/clock"
	"heatherloom/internal/control"
	"heatherloom/internal/external"
)

// fakeReaders are readers whose logs a feed follows directly.
type fakeReaders struct {
	mu     sync.Mutex
	logs   map[string]*ChangeLog
	order  []string
	silent bool
	reader bool
	calls  int
}

func (r *fakeReaders) Addresses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.order
}

func (r *fakeReaders) IsReader() bool { return r.reader }

func (r *fakeReaders) Next(ctx context.Context, address string, revision, era int64, known uint64) (Reading, error) {
	started := clock.Now()
	r.mu.Lock()
	log, silent := r.logs[address], r.silent
	r.calls++
	r.mu.Unlock()
	if silent {
		<-ctx.Done()
		return Reading{}, ctx.Err()
	}
	reading, err := log.Next(ctx, revision, era, known, clock.Now)
	reading.Began = started.Add(-reading.Age)
	return reading, err
}

func (r *fakeReaders) set(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// countingStore counts the reads of changes.
type countingStore struct {
	*fakeStore
	mu      sync.Mutex
	changes int
}

func (s *countingStore) Changes(ctx context.Context, prefix string, from int64, wait time.Duration) (external.Changes, error) {
	s.mu.Lock()
	s.changes++
	s.mu.Unlock()
	return s.fakeStore.Changes(ctx, prefix, from, wait)
}

func (s *countingStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes
}

// startFollower starts two feeds: one that reads a store, and one that follows it.
func startFollower(t *testing.T, store *fakeStore) (follower *control.Loop, direct *countingStore, readers *fakeReaders) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(discardWriter{t})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	start := func(id string, s external.PollingStore, r Readers, changes *ChangeLog) *control.Loop {
		loop := control.NewLoop(control.Identity{ID: id, Region: "r", EffectiveMaxIsolation: testIsolation, StrictIsolation: true})
		feed := &Feed{Store: s, Documents: fakeDocuments{}, Loop: loop, Log: logrus.NewEntry(log), Readers: r, Changes: changes}
		running.Go(func() { loop.Run(ctx) })
		running.Go(func() { feed.Run(ctx) })
		return loop
	}
	changes := &ChangeLog{}
	start("reader", store, &fakeReaders{reader: true}, changes)
	direct = &countingStore{fakeStore: store}
	readers = &fakeReaders{logs: map[string]*ChangeLog{"reader": changes}, order: []string{"reader"}}
	follower = start("follower", direct, readers, nil)
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return follower, direct, readers
}

func configStore(revision int64) *fakeStore {
	return &fakeStore{at: revision, entries: []external.Entry{{Key: "c", Value: make([]byte, revision), ModRevision: revision}}}
}

func (f *fakeStore) writeConfig(revision int64) {
	f.set(func() {
		f.at = revision
		f.entries = []external.Entry{{Key: "c", Value: make([]byte, revision), ModRevision: revision}}
	})
}

// Guards against followers that call the store although their reader works, that learn of changes late, and whose
// configuration goes stale.
func TestFollowersReadThroughTheirReader(t *testing.T) {
	store := configStore(3)
	follower, direct, _ := startFollower(t, store)
	eventually(t, "the first configuration", func() bool { return follower.Snapshot().Config.Revision == 3 })
	time.Sleep(2 * pollInterval)
	calls := direct.count()
	store.writeConfig(7)
	written := time.Now()
	eventually(t, "the second configuration", func() bool { return follower.Snapshot().Config.Revision == 7 })
	if took := time.Since(written); took > 2*time.Second {
		t.Errorf("the follower has a change after %v, want at most 2 s as by reading directly", took)
	}
	for end := time.Now().Add(3 * pollInterval); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if follower.Snapshot().ConfigStale(clock.Now()) {
			t.Fatal("the configuration of the follower is stale")
		}
	}
	if n := direct.count() - calls; n > 0 {
		t.Errorf("the follower read the store %d times", n)
	}
}

// Guards against followers that stay without changes while their reader is silent, gone or turned away by the store.
func TestFollowersReadThemselvesWithoutAReader(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(*fakeReaders)
	}{
		{"silent", func(r *fakeReaders) { r.set(func() { r.silent = true }) }},
		{"not known", func(r *fakeReaders) { r.set(func() { r.order = nil }) }},
		{"without a reading", func(r *fakeReaders) { r.set(func() { r.logs["reader"] = &ChangeLog{} }) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := configStore(3)
			follower, _, readers := startFollower(t, store)
			eventually(t, "the first configuration", func() bool { return follower.Snapshot().Config.Revision == 3 })
			time.Sleep(2 * pollInterval)
			c.fail(readers)
			store.writeConfig(7)
			written := time.Now()
			eventually(t, "the second configuration", func() bool { return follower.Snapshot().Config.Revision == 7 })
			if took := time.Since(written); took > pollInterval+pollWait+followTimeout+maxTakeoverDelay {
				t.Errorf("the follower has a change after %v", took)
			}
		})
	}
}

// readingSchedule is a store, a reader of it and followers that lie behind at random.
type readingSchedule struct {
	rng      *rand.Rand
	now      time.Time
	revision int64
	era      int64
	writes   []external.WatchEvent
	log      ChangeLog
	readAt   int64
}

func (s *readingSchedule) write() {
	s.revision++
	s.writes = append(s.writes, external.WatchEvent{Entry: external.Entry{Key: fmt.Sprint("k", s.rng.IntN(5)), Value: fmt.Append(nil, s.revision), ModRevision: s.revision}})
}

// read makes a direct reading that began at the current time, from the revision of the last one or a later one.
func (s *readingSchedule) read() {
	if s.rng.IntN(6) == 0 {
		s.readAt = max(s.readAt, s.revision-s.rng.Int64N(3))
	}
	changes := external.Changes{Revision: s.revision, Era: s.era}
	for _, e := range s.writes {
		if e.Entry.ModRevision > s.readAt {
			changes.Events = append(changes.Events, e)
		}
	}
	s.log.record(s.readAt, changes, s.now)
	s.readAt = s.revision
}

// Guards against readings that lack a change after the follower's revision, that go back, belong to another era or are
// older than they say, whatever the reader read, failed to read or followed in between.
func TestReadingsAreCompleteFromTheFollowersRevision(t *testing.T) {
	for seed := range uint64(200) {
		s := &readingSchedule{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), revision: 5, readAt: 5, era: 1}
		s.log.restart(5, 1, s.now)
		served := 0
		for step := range 300 {
			s.now = s.now.Add(time.Duration(s.rng.IntN(900)) * time.Millisecond)
			switch s.rng.IntN(10) {
			case 0:
				s.log.fail()
			case 1:
				if s.rng.IntN(20) == 0 {
					s.era++
					s.readAt = s.revision
					s.log.restart(s.revision, s.era, s.now)
				}
			case 2, 3, 4:
				s.write()
			default:
				s.read()
			}
			from, era := max(s.revision-s.rng.Int64N(8), 0), s.era-s.rng.Int64N(2)
			reading, changed, err := s.log.after(from, era, 0, s.now)
			if err != nil || changed != nil {
				continue
			}
			served++
			if reading.Revision < from || era != s.era || s.now.Sub(reading.Began) > maxReadingAge || !reading.Began.Equal(s.log.began) {
				t.Fatalf("seed %d, step %d: revision %d after %d, era %d of %d, %v old", seed, step, reading.Revision, from, era, s.era, s.now.Sub(reading.Began))
			}
			want := 0
			for _, e := range s.writes {
				if e.Entry.ModRevision > from && e.Entry.ModRevision <= reading.Revision {
					want++
				}
			}
			if len(reading.Events) != want {
				t.Fatalf("seed %d, step %d: %d changes after revision %d up to %d, want %d", seed, step, len(reading.Events), from, reading.Revision, want)
			}
		}
		if served == 0 {
			t.Fatalf("seed %d: no reading was served", seed)
		}
	}
}
