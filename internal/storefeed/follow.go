package storefeed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/clock"
	"heatherloom/internal/telemetry"
)

// Readers are the instances that read the store for others of their failure domain.
type Readers interface {
	// Addresses returns their peer addresses, in the order in which this instance prefers them. It returns none
	// if this instance reads the store itself.
	Addresses() []string
	// IsReader reports whether this instance reads the store for others.
	IsReader() bool
	// Next returns the next reading of the instance at an address; see ChangeLog.Next.
	Next(ctx context.Context, address string, revision, era int64, known uint64) (Reading, error)
}

const (
	// followTimeout bounds the wait for a reading that is due. With two readers that hang, and a call of this
	// instance's own, it stays within the 4 s for which a configuration counts as confirmed.
	followTimeout = 800 * time.Millisecond
	// readingSlack is the time from the end of a reader's call to that at which followers ask for its result.
	readingSlack = 30 * time.Millisecond
	// readerRetry is how long a reader that failed is left alone.
	readerRetry = 3 * time.Second
	// maxTakeoverDelay spreads the calls to the store of the instances that lost their readers together.
	maxTakeoverDelay = 250 * time.Millisecond
	// minFollowInterval bounds how often a reader is asked.
	minFollowInterval = 100 * time.Millisecond
)

// following is the state of an instance that follows readers.
type following struct {
	// address is that of the last reader, and reading the number of its last reading.
	address string
	reading uint64
	// dueAt is when the reader's next reading is expected.
	dueAt time.Time
	// retryAt is when a reader that failed may be asked again, by address.
	retryAt map[string]time.Time
	// alone is true after all readers failed.
	alone bool
}

// follow applies the next reading of a reader. It returns false if this instance has to read the store itself: it is
// a reader, or all of them fail.
func (f *Feed) follow(ctx context.Context, revision int64) (next int64, began time.Time, ok bool) {
	if f.Readers == nil || revision == 0 {
		return 0, time.Time{}, false
	}
	addresses := f.Readers.Addresses()
	asked := false
	for _, address := range addresses {
		if clock.Now().Before(f.following.retryAt[address]) {
			continue
		}
		asked = true
		reading, err := f.nextReading(ctx, address, revision)
		if err == nil {
			f.applyChanges(reading.Changes, reading.Began)
			f.logFollowing(false)
			return reading.Revision, reading.Began, true
		}
		f.following.address = ""
		f.following.retryAt[address] = clock.Now().Add(readerRetry)
	}
	f.logFollowing(len(addresses) > 0)
	if asked {
		clock.Sleep(ctx, time.Duration(rand.Int64N(int64(maxTakeoverDelay))))
	}
	return 0, time.Time{}, false
}

// nextReading returns the next reading of a reader that is later than what this instance knows. If the latest one is
// not, it waits until the next one is due.
func (f *Feed) nextReading(ctx context.Context, address string, revision int64) (Reading, error) {
	if f.following.address != address {
		f.following.address, f.following.reading = address, 0
	}
	for {
		reading, err := f.askReader(ctx, address, revision)
		if err != nil {
			return Reading{}, err
		}
		f.following.reading = reading.Number
		f.following.dueAt = clock.Now().Add(pollInterval + pollWait + readingSlack - reading.Age)
		if reading.Began.After(f.lastSuccess) {
			return reading, nil
		}
		clock.Sleep(ctx, max(f.following.dueAt.Sub(clock.Now()), minFollowInterval))
	}
}

func (f *Feed) askReader(ctx context.Context, address string, revision int64) (Reading, error) {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	return f.Readers.Next(ctx, address, revision, f.era, f.following.reading)
}

// logFollowing logs a change of whether this instance reads the store itself because all readers fail.
func (f *Feed) logFollowing(alone bool) {
	if f.following.alone == alone {
		return
	}
	f.following.alone = alone
	entry := f.Log.WithFields(logrus.Fields{telemetry.FieldEvent: "store_readers", "reachable": !alone})
	if alone {
		entry.Info("the instances that read the store for this failure domain do not deliver; reading it directly")
	} else {
		entry.Info("following an instance that reads the store")
	}
}
