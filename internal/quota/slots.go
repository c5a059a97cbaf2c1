// Package quota divides each client account's rate and burst over the entry
// instances so that all of them together never exceed it.
//
// In Ledger the rate is divided over slots, not over instances. The set of slots is part
// of the operators' configuration; which instance holds a slot is decided by a claim in
// the platform's key-value service that remains valid during long outages. An instance
// admits from the buckets of its own slot, and borrows tokens from the holders of other
// slots where demand does not match the division. Tokens are taken from the lender before
// the borrower may spend them, so no failure creates tokens: a crash, a partition or a
// pause can only make them unavailable.
//
// ShareLimiter divides the rate over the instances in proportion to their demand instead.
//
// The slots also decide which instance sends a write with an idempotency key: the holder of
// the slot that owns the key (Division.WriteSlots).
//
// The package does no network I/O and reads no clock.
package quota

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"heatherloom/internal/opconfig"
)

// Slot is one part of the division of rates. It belongs to a failure domain.
type Slot struct {
	Domain string
	Region string
	// Index counts from 0 within the failure domain.
	Index int
}

// ID returns the slot as domain/index.
func (s Slot) ID() string { return s.Domain + "/" + strconv.Itoa(s.Index) }

// Slots returns every slot that the configuration defines, in a fixed order.
func Slots(c *opconfig.Config) []Slot {
	var slots []Slot
	for _, d := range c.FailureDomains {
		for i := range d.Slots {
			slots = append(slots, Slot{Domain: d.Name, Region: d.Region, Index: i})
		}
	}
	slices.SortFunc(slots, func(a, b Slot) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Index, b.Index))
	})
	return slots
}

// Division determines how the accounts' rates are divided over a set of slots. It is
// immutable and safe for concurrent use.
type Division struct {
	slots    []Slot
	byRegion map[string][]int32
	all      []int32
	hashes   []uint64
}

// NewDivision returns the division over the slots of a configuration.
func NewDivision(c *opconfig.Config) *Division {
	d := &Division{slots: Slots(c), byRegion: map[string][]int32{}}
	for i, slot := range d.slots {
		d.all = append(d.all, int32(i))
		d.byRegion[slot.Region] = append(d.byRegion[slot.Region], int32(i))
		d.hashes = append(d.hashes, xxhash.Sum64String(slot.ID()))
	}
	return d
}

// Slots returns every slot in a fixed order. The caller must not change it.
func (d *Division) Slots() []Slot { return d.slots }

// Hash identifies the set of slots. Divisions with the same hash rank slots identically.
func (d *Division) Hash() uint64 {
	digest := xxhash.New()
	for _, slot := range d.slots {
		_, _ = digest.WriteString(slot.Region + "\x00" + slot.ID() + "\x00")
	}
	return digest.Sum64()
}

// maxAccountSlots is the maximum number of slots for one client account, the same as the
// maximum number of entry instances in a response to GET /v1/entries.
const maxAccountSlots = 8

// SlotCount returns the number of slots over which the account's rate is divided. Each part
// of the burst holds at least one token, since a smaller part could never admit a request.
func SlotCount(a opconfig.Account, available int) int {
	return max(min(int(a.Burst), maxAccountSlots, available), 1)
}

// AccountSlots returns the slots over which the account's rate is divided, in rendezvous hash
// order interleaved by region. An account with a home region uses only slots of that
// region. The result is empty if there are no such slots.
func (d *Division) AccountSlots(a opconfig.Account) []Slot {
	if d == nil {
		return nil
	}
	candidates := d.all
	if a.HomeRegion != "" {
		candidates = d.byRegion[a.HomeRegion]
	}
	if len(candidates) == 0 {
		return nil
	}
	ranked := d.rank(a.Name, candidates)
	count := SlotCount(a, len(ranked))
	slots := make([]Slot, 0, count)
	for _, i := range ranked[:count] {
		slots = append(slots, d.slots[i])
	}
	return slots
}

// rank orders slots by rendezvous hash and then interleaves regions, so that an isolated
// region keeps a part of the rate of as many accounts as possible.
func (d *Division) rank(account string, candidates []int32) []int32 {
	seed := xxhash.Sum64String(account)
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b int32) int {
		return cmp.Compare(mix(seed, d.hashes[b]), mix(seed, d.hashes[a]))
	})
	seen := map[string]int{}
	round := make(map[int32]int, len(ranked))
	for _, i := range ranked {
		region := d.slots[i].Region
		round[i] = seen[region]
		seen[region]++
	}
	slices.SortStableFunc(ranked, func(a, b int32) int { return cmp.Compare(round[a], round[b]) })
	return ranked
}

// mix combines two hashes; the constants are those of the SplitMix64 finalizer.
func mix(a, b uint64) uint64 {
	x := a ^ b
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Limit is a part of a client account's rate and burst.
type Limit struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is in requests.
	Burst float64
}

// LimitOf returns the part of the account's limit assigned to a slot; it is zero for a slot
// that is not among those of the account.
func (d *Division) LimitOf(a opconfig.Account, slot Slot) Limit {
	slots := d.AccountSlots(a)
	if !slices.Contains(slots, slot) {
		return Limit{}
	}
	parts := float64(len(slots))
	return Limit{Rate: a.Rate / parts, Burst: a.Burst / parts}
}

// writeSlotCount is the number of slots selected for an idempotency key: the owner and two
// that may store a copy.
const writeSlotCount = 3

// WriteSlots returns the ranked slots for an idempotency key. The first one owns the key.
// region is the home region of the route or client account; if empty, a region is chosen
// by rendezvous hashing. The result is empty if the region has no slots.
func (d *Division) WriteSlots(account, key, region string) []Slot {
	seed := mix(xxhash.Sum64String(account), xxhash.Sum64String(key))
	if region == "" {
		region = d.chooseRegion(seed)
	}
	ranked := slices.Clone(d.byRegion[region])
	slices.SortFunc(ranked, func(a, b int32) int {
		return cmp.Compare(mix(seed, d.hashes[b]), mix(seed, d.hashes[a]))
	})
	slots := make([]Slot, 0, writeSlotCount)
	for _, i := range ranked[:min(len(ranked), writeSlotCount)] {
		slots = append(slots, d.slots[i])
	}
	return slots
}

func (d *Division) chooseRegion(seed uint64) string {
	best, bestScore := "", uint64(0)
	for name := range d.byRegion {
		score := mix(seed, xxhash.Sum64String(name))
		if best == "" || score > bestScore || (score == bestScore && name < best) {
			best, bestScore = name, score
		}
	}
	return best
}
