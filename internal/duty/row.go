package duty

import (
	"encoding/json"

	"heatherloom/internal/external"
)

// KeyPrefix is the key prefix of the duties in the key-value service.
const KeyPrefix = "heatherloom/duty/"

// Key returns the key of a duty. A holder that writes other keys on behalf of the duty makes the
// writes depend on it: its mod revision is the token as long as the holder has the duty.
func Key(d external.Duty) string { return KeyPrefix + string(d) }

// Row is the JSON value of a duty's key.
type Row struct {
	// Holder is the ID of the instance that holds the duty.
	Holder string `json:"holder"`
	// Started is the start time of its process in Unix nanoseconds.
	Started int64 `json:"started"`
	// Lease is the ID of its lease at its lease.EraStore, which contains the era of the grant.
	Lease int64 `json:"lease"`
}

// vacant reports whether a duty has no valid holder according to its entry, as read in an era of
// the store. All leases that were granted before a restore are lost, but a key may be restored.
func vacant(e external.Entry, era int64) bool {
	if e.ModRevision == 0 {
		return true
	}
	var r Row
	if json.Unmarshal(e.Value, &r) != nil || r.Lease == 0 {
		return false
	}
	granted, _ := external.SplitEra(r.Lease)
	return granted < era
}
