package slotclaim

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherloom/internal/external"
)

const (
	// KeyPrefix is the key prefix of the claims in the key-value service.
	KeyPrefix = "/heatherloom/slots/"
	// UsedPrefix is the key prefix of the markers of slots that were claimed at least
	// once. Markers have no lease.
	UsedPrefix = "/heatherloom/slots-used/"
)

// Claim is the slot that an instance holds. The slot gives it a part of each rate and the
// ownership of idempotency keys. UsableFrom delays only the rate; UsableUntil ends both.
type Claim struct {
	// Held is false if no slot is held; the other fields are zero then.
	Held bool
	// Index is the slot's index in the failure domain.
	Index int
	// UsableFrom is when use of the slot's rate may begin; writes with a key of the slot do not
	// wait for it. UsableUntil is when all use of the slot must end without a further renewal.
	// Both are by the holder's clock.
	UsableFrom  time.Time
	UsableUntil time.Time
	// FirstClaim is true if the slot was never claimed before.
	FirstClaim bool
}

func (s state) claim() Claim {
	if s.phase != held {
		return Claim{}
	}
	return Claim{Held: true, Index: s.target.index, UsableFrom: s.usableFrom, UsableUntil: s.usableUntil, FirstClaim: s.target.neverClaimed}
}

// slotValue is the JSON value of a slot's key.
type slotValue struct {
	Instance string `json:"instance"`
	// Incarnation is the start time of the process in Unix nanoseconds.
	Incarnation int64 `json:"incarnation"`
}

func domainPrefix(domain string) string { return KeyPrefix + domain + "/" }

func slotKey(domain string, index int) string { return domainPrefix(domain) + strconv.Itoa(index) }

func usedKey(domain string, index int) string {
	return UsedPrefix + domain + "/" + strconv.Itoa(index)
}

// chooseSlot returns the slot to claim: the one held by an earlier process with the same
// instance id, or else a free one. The search for a free slot starts at an index that
// depends on the id, so that instances that start together rarely compete for a slot.
func chooseSlot(self slotValue, domain string, slots int, entries []external.Entry) (target, bool) {
	taken := make(map[int]bool, len(entries))
	for _, e := range entries {
		index, err := strconv.Atoi(strings.TrimPrefix(e.Key, domainPrefix(domain)))
		if err != nil || index < 0 || index >= slots {
			continue
		}
		if isEarlierProcess(self, e.Value) {
			return target{index: index, modRevision: e.ModRevision, earlierLeaseID: e.Lease}, true
		}
		taken[index] = true
	}
	start := int(xxhash.Sum64String(self.Instance) % uint64(slots))
	for i := range slots {
		if index := (start + i) % slots; !taken[index] {
			return target{index: index}, true
		}
	}
	return target{}, false
}

// isEarlierProcess reports whether the value of a key names an earlier process with the
// same instance id. That process has ended, because this one runs.
func isEarlierProcess(self slotValue, raw []byte) bool {
	var holder slotValue
	if err := json.Unmarshal(raw, &holder); err != nil {
		return false
	}
	return holder.Instance == self.Instance && holder.Incarnation <= self.Incarnation
}
