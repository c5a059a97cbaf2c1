package storefeed

import (
	"context"
	"errors"
	"sync"
	"time"

	"heatherloom/internal/external"
)

// Reading is what an instance read from the store, for another one that follows it.
type Reading struct {
	// Changes are those after the revision that the follower knows.
	external.Changes
	// Number identifies the reading among those of its reader. It is never 0.
	Number uint64
	// Began is a time, by the local clock, at which the reader had not begun its call to the store yet. It is
	// earlier than the call by the time in which the follower waited for the reading.
	Began time.Time
	// Age is the time from the call to the response to the follower.
	Age time.Duration
}

// ErrNotReading means that an instance has no recent reading of its own, or not the changes that a follower
// lacks. The follower reads the store itself.
var ErrNotReading = errors.New("the instance has no reading of the store that the follower can use")

const (
	// maxReadingAge is the age up to which followers get a reading.
	maxReadingAge = 2500 * time.Millisecond
	// logRetention is how long changes are kept for followers that lie behind, and maxLogBytes how much. Followers
	// ask every pollInterval; the store's largest value has 1 MB.
	logRetention = 10 * time.Second
	maxLogBytes  = 2 << 20
)

// ChangeLog holds the latest changes that an instance read from the store itself. It is safe for concurrent use.
type ChangeLog struct {
	mu     sync.Mutex
	events []loggedChange
	bytes  int
	// floor is the revision after which all changes are held, up to revision.
	floor, revision, era int64
	number               uint64
	began                time.Time
	failed               bool
	// changed is closed when there is another reading, or a failure.
	changed chan struct{}
}

type loggedChange struct {
	external.WatchEvent
	// at is when the call began that read it.
	at time.Time
}

// record adds the changes of a reading after a revision. If the last reading ended at another one, as this
// instance followed a reader in between, earlier changes are forgotten.
func (l *ChangeLog) record(from int64, c external.Changes, began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from != l.revision {
		l.events, l.bytes, l.floor = nil, 0, from
	}
	for _, e := range c.Events {
		l.events = append(l.events, loggedChange{e, began})
		l.bytes += len(e.Entry.Value)
	}
	for len(l.events) > 0 && (l.bytes > maxLogBytes || began.Sub(l.events[0].at) > logRetention) {
		l.floor = l.events[0].Entry.ModRevision
		l.bytes -= len(l.events[0].Entry.Value)
		l.events = l.events[1:]
	}
	l.advance(c.Revision, began)
}

// restart forgets all changes: everything was read, up to a revision of an era.
func (l *ChangeLog) restart(revision, era int64, began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events, l.bytes, l.floor, l.era = nil, 0, revision, era
	l.advance(revision, began)
}

func (l *ChangeLog) advance(revision int64, began time.Time) {
	l.revision, l.began, l.failed = revision, began, false
	l.number++
	l.wake()
}

// fail records that this instance does not read the store at the moment.
func (l *ChangeLog) fail() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = true
	l.wake()
}

func (l *ChangeLog) wake() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// Next returns the latest reading, with the changes after a revision of an era. If its number is known, it waits
// for the next one until ctx ends.
func (l *ChangeLog) Next(ctx context.Context, revision, era int64, known uint64, now func() time.Time) (Reading, error) {
	for {
		reading, changed, err := l.after(revision, era, known, now())
		if err != nil || changed == nil {
			return reading, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Reading{}, ErrNotReading
		}
	}
}

// after returns the latest reading. If its number is known, it returns a channel that is closed with the next.
func (l *ChangeLog) after(revision, era int64, known uint64, now time.Time) (Reading, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.number == 0 || l.failed || era != l.era || revision < l.floor || now.Sub(l.began) > maxReadingAge {
		return Reading{}, nil, ErrNotReading
	}
	if known == l.number {
		if l.changed == nil {
			l.changed = make(chan struct{})
		}
		return Reading{}, l.changed, nil
	}
	r := Reading{Number: l.number, Began: l.began, Age: max(now.Sub(l.began), 0)}
	r.Era, r.Revision = l.era, max(revision, l.revision)
	for _, e := range l.events {
		if e.Entry.ModRevision > revision {
			r.Events = append(r.Events, e.WatchEvent)
		}
	}
	return r, nil, nil
}
