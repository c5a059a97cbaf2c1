package storefeed

import (
	"slices"

	"heatherloom/internal/external"
)

// Observer takes the entries of some keys as the feed reads them.
type Observer struct {
	Keys []string
	// Observe takes the entry of one of Keys when it was read or has changed, and the era of the
	// store. ModRevision is 0 if the key does not exist.
	Observe func(e external.Entry, era int64)
}

// observeAll passes on all keys after a full read.
func (o *Observer) observeAll(entries []external.Entry, era int64) {
	if o == nil {
		return
	}
	for _, key := range o.Keys {
		entry := external.Entry{Key: key}
		if i := slices.IndexFunc(entries, func(e external.Entry) bool { return e.Key == key }); i >= 0 {
			entry = entries[i]
		}
		o.Observe(entry, era)
	}
}

// observe passes on an event if it is one of a key that is observed.
func (o *Observer) observe(e external.WatchEvent, era int64) {
	if o == nil || !slices.Contains(o.Keys, e.Entry.Key) {
		return
	}
	if e.Deleted {
		e.Entry = external.Entry{Key: e.Entry.Key}
	}
	o.Observe(e.Entry, era)
}
