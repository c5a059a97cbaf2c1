package storefeed

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/control"
	"heatherloom/internal/external"
)

// fakeLog is a key-value service with switches for its failures.
type fakeLog struct {
	mu        sync.Mutex
	entries   []external.Entry
	at        int64
	down      bool
	compacted bool
	reads     int
}

func (f *fakeLog) Read(context.Context, string) (external.Reading, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return external.Reading{}, external.ErrUnavailable
	}
	f.reads++
	return external.Reading{Entries: f.entries, At: f.at}, nil
}

func (f *fakeLog) Changes(_ context.Context, _ string, from int64, _ time.Duration) (external.Changes, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return external.Changes{}, external.ErrUnavailable
	}
	if f.compacted {
		f.compacted = false
		return external.Changes{}, external.ErrCompacted
	}
	changes := external.Changes{At: f.at}
	for _, e := range f.entries {
		if e.Version > from {
			changes.Events = append(changes.Events, external.WatchEvent{Entry: e})
		}
	}
	return changes, nil
}

func (f *fakeLog) Commit(context.Context, []external.Condition, []external.Write) (bool, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return false, 0, external.ErrUnavailable
	}
	return true, 0, nil
}

func (f *fakeLog) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func startFeed(t *testing.T, store *fakeLog) *control.Loop {
	t.Helper()
	log := logrus.New()
	log.SetOutput(testWriter{t})
	ctx, cancel := context.WithCancel(context.Background())
	loop := control.NewLoop(control.Identity{ID: "i", Region: "r", MaxIsolation: testIsolation, StrictIsolation: true})
	feed := &Feed{Store: store, Documents: plainDocuments{}, Loop: loop, Log: logrus.NewEntry(log)}
	var running sync.WaitGroup
	running.Go(func() { loop.Run(ctx) })
	running.Go(func() { feed.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return loop
}

// testIsolation is half of the 4 s for which an instance on the platform counts its
// configuration as confirmed; one read must follow the other well within it.
const testIsolation = 2 * time.Second

type testWriter struct{ t *testing.T }

func (w testWriter) Write(p []byte) (int, error) { return len(p), nil }

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within 5 s: %s", what)
}

// Guards against an instance that goes on admitting keys by a configuration that nothing
// has confirmed for longer than its bound, and one that does not recover by itself.
func TestFeedBoundsTheAgeOfTheConfiguration(t *testing.T) {
	store := &fakeLog{entries: []external.Entry{entry("c", "x", 1)}, at: 1}
	loop := startFeed(t, store)
	stale := func() bool { return loop.Snapshot().ConfigStale(time.Now()) }
	eventually(t, "a configuration", func() bool { return loop.Snapshot().Ready })
	for range 60 {
		if stale() {
			t.Fatal("stale while the store answers")
		}
		time.Sleep(50 * time.Millisecond)
	}
	store.set(func() { store.down = true })
	eventually(t, "the configuration is too old", stale)
	if loop.Snapshot().Config.Revision != 1 {
		t.Error("the configuration was forgotten")
	}
	store.set(func() { store.down = false })
	eventually(t, "the configuration is confirmed again", func() bool { return !stale() })
}

// Guards against a change that is missed because the store dropped its history.
func TestFeedReadsEverythingAfterCompaction(t *testing.T) {
	store := &fakeLog{entries: []external.Entry{entry("c", "x", 1)}, at: 1}
	loop := startFeed(t, store)
	eventually(t, "a configuration", func() bool { return loop.Snapshot().Config.Revision == 1 })
	store.set(func() {
		store.entries = []external.Entry{entry("c", "xx", 7)}
		store.at, store.compacted = 7, true
	})
	eventually(t, "the new revision", func() bool { return loop.Snapshot().Config.Revision == 2 })
	if store.reads != 2 {
		t.Errorf("%d full readings, want 2", store.reads)
	}
}

// An instance without a row gets no peers and no requests. Guards against one whose row
// cannot be written and that says nothing of it.
func TestFeedReportsThatItsRowCannotBeWritten(t *testing.T) {
	store := &fakeLog{down: true}
	var lines lockedBuffer
	log := logrus.New()
	log.SetOutput(&lines)
	ctx, cancel := context.WithCancel(t.Context())
	feed := &Feed{Store: store, Documents: plainDocuments{}, Log: logrus.NewEntry(log)}
	var running sync.WaitGroup
	running.Go(func() { feed.list(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	eventually(t, "a line on the failed write", func() bool { return strings.Contains(lines.text(), "event=instance_unlisted") })
	store.set(func() { store.down = false })
	eventually(t, "a line on the written row", func() bool { return strings.Contains(lines.text(), "event=instance_listed") })
	if n := strings.Count(lines.text(), "event=instance_unlisted"); n != 1 {
		t.Errorf("%d lines on failed writes, want 1", n)
	}
}

type lockedBuffer struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(p)
}

func (b *lockedBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.String()
}
