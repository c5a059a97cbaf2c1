package control

import (
	"heatherloom/internal/opconfig"
)

const (
	// maxHistoryDeltas is the number of deltas kept for peers that are behind. The
	// key-value service stores the same number between two bases.
	maxHistoryDeltas = 1024
	// maxHistoryBytes bounds the size of the kept deltas; 1,024 typical ones take 200 KB.
	maxHistoryBytes = 4 << 20
)

// history holds the latest deltas in order. Snapshots share its elements, which are
// immutable.
type history struct {
	deltas []opconfig.Delta
	bytes  int
}

// extend appends the deltas that lead to revision. If they leave a gap after the
// existing history, they replace it. A revision that arrives without deltas clears it.
func (h *history) extend(revision int64, deltas []opconfig.Delta) {
	if len(deltas) == 0 || deltas[len(deltas)-1].Revision != revision {
		*h = history{}
		return
	}
	last := int64(0)
	if n := len(h.deltas); n > 0 {
		last = h.deltas[n-1].Revision
	}
	if deltas[0].Revision > last+1 {
		*h = history{}
		last = 0
	}
	for _, d := range deltas {
		if d.Revision > last {
			h.deltas = append(h.deltas, d)
			h.bytes += sizeOf(d)
		}
	}
	h.trim()
}

func (h *history) trim() {
	for len(h.deltas) > maxHistoryDeltas || (h.bytes > maxHistoryBytes && len(h.deltas) > 0) {
		h.bytes -= sizeOf(h.deltas[0])
		h.deltas = h.deltas[1:]
	}
}

func sizeOf(d opconfig.Delta) int {
	size := len(d.ApplyID)
	for _, c := range d.Changes {
		size += len(c.Table) + len(c.ID) + len(c.Record)
	}
	return size
}
