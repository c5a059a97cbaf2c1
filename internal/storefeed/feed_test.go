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

// fakeStore is a key-value service whose failures the tests switch on and off.
type fakeStore struct {
	mu          sync.Mutex
	entries     []external.Entry
	at          int64
	unavailable bool
	compacted   bool
	reads       int
}

func (f *fakeStore) Read(context.Context, string) (external.ReadResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return external.ReadResult{}, external.ErrUnavailable
	}
	f.reads++
	return external.ReadResult{Entries: f.entries, Revision: f.at}, nil
}

func (f *fakeStore) Changes(_ context.Context, _ string, from int64, _ time.Duration) (external.Changes, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return external.Changes{}, external.ErrUnavailable
	}
	if f.compacted {
		f.compacted = false
		return external.Changes{}, external.ErrCompacted
	}
	changes := external.Changes{Revision: f.at}
	for _, e := range f.entries {
		if e.ModRevision > from {
			changes.Events = append(changes.Events, external.WatchEvent{Entry: e})
		}
	}
	return changes, nil
}

func (f *fakeStore) Commit(context.Context, []external.Condition, []external.Write) (bool, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return false, 0, external.ErrUnavailable
	}
	return true, 0, nil
}

func (f *fakeStore) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func startFeed(t *testing.T, store *fakeStore) *control.Loop {
	t.Helper()
	log := logrus.New()
	log.SetOutput(discardWriter{t})
	ctx, cancel := context.WithCancel(context.Background())
	loop := control.NewLoop(control.Identity{ID: "i", Region: "r", EffectiveMaxIsolation: testIsolation, StrictIsolation: true})
	feed := &Feed{Store: store, Documents: fakeDocuments{}, Loop: loop, Log: logrus.NewEntry(log)}
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
// configuration as confirmed. Two successive reads must be well within it.
const testIsolation = 2 * time.Second

type discardWriter struct{ t *testing.T }

func (w discardWriter) Write(p []byte) (int, error) { return len(p), nil }

func eventually(t *testing.T, description string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timeout after 5 s: %s", description)
}

// Guards against an instance that keeps admitting API keys with a configuration that has
// not been confirmed within the limit, and against one that does not recover by itself.
func TestFeedBoundsTheAgeOfTheConfiguration(t *testing.T) {
	store := &fakeStore{entries: []external.Entry{entry("c", "x", 1)}, at: 1}
	loop := startFeed(t, store)
	stale := func() bool { return loop.Snapshot().ConfigStale(time.Now()) }
	eventually(t, "a configuration", func() bool { return loop.Snapshot().Ready })
	for range 60 {
		if stale() {
			t.Fatal("stale while the store is available")
		}
		time.Sleep(50 * time.Millisecond)
	}
	store.set(func() { store.unavailable = true })
	eventually(t, "the configuration is stale", stale)
	if loop.Snapshot().Config.Revision != 1 {
		t.Error("the configuration was dropped")
	}
	store.set(func() { store.unavailable = false })
	eventually(t, "the configuration is confirmed again", func() bool { return !stale() })
}

// Guards against a change that is missed because the store compacted its history.
func TestFeedReadsEverythingAfterCompaction(t *testing.T) {
	store := &fakeStore{entries: []external.Entry{entry("c", "x", 1)}, at: 1}
	loop := startFeed(t, store)
	eventually(t, "a configuration", func() bool { return loop.Snapshot().Config.Revision == 1 })
	store.set(func() {
		store.entries = []external.Entry{entry("c", "xx", 7)}
		store.at, store.compacted = 7, true
	})
	eventually(t, "the new revision", func() bool { return loop.Snapshot().Config.Revision == 2 })
	if store.reads != 2 {
		t.Errorf("%d full reads, want 2", store.reads)
	}
}

// Guards against an instance that does not log that its row cannot be written. Without the
// row, it gets no peers and no requests.
func TestFeedReportsThatItsRowCannotBeWritten(t *testing.T) {
	store := &fakeStore{unavailable: true}
	var lines lockedBuffer
	log := logrus.New()
	log.SetOutput(&lines)
	ctx, cancel := context.WithCancel(t.Context())
	feed := &Feed{Store: store, Documents: fakeDocuments{}, Log: logrus.NewEntry(log)}
	var running sync.WaitGroup
	running.Go(func() { feed.register(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	eventually(t, "a log line about the failed write", func() bool { return strings.Contains(lines.text(), "event=instance_unlisted") })
	store.set(func() { store.unavailable = false })
	eventually(t, "a log line about the written row", func() bool { return strings.Contains(lines.text(), "event=instance_listed") })
	if n := strings.Count(lines.text(), "event=instance_unlisted"); n != 1 {
		t.Errorf("%d log lines about failed writes, want 1", n)
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
