package usage

import (
	"bytes"
	"cmp"
	"compress/flate"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"time"

	"heatherloom/internal/external"
)

// RowKey is the key of the row in the store that holds the newest reports.
const RowKey = "heatherloom/usage"

// DutyKey is the key whose revision is the fencing token of the duty's holder.
const DutyKey = "heatherloom/duty/" + string(external.DutyUsageReport)

const (
	// maxRowReports is the number of reports that the row holds.
	maxRowReports = 12
	// maxRowBytes leaves room below external.MaxValueBytes for what a transport adds.
	maxRowBytes = external.MaxValueBytes * 3 / 4
	// packAbove is the size from which a row is compressed.
	packAbove = 64 << 10
	// maxUnpackedBytes bounds a row that is read.
	maxUnpackedBytes = 64 << 20
)

// Row is the record of the newest reports in the store. A report is sent only after the row with it was
// acknowledged, and only with the counts of the row.
type Row struct {
	// Era is that of the store in which the row was written.
	Era int64 `json:"era"`
	// Floor is the last window up to which nothing is reported that the row does not hold.
	Floor int64 `json:"floor"`
	// Reports are in the order of their windows.
	Reports []RowReport `json:"reports,omitempty"`
	// Packed holds the rest of a large row, as JSON with compression.
	Packed []byte `json:"packed,omitempty"`
}

// RowReport is one report of the row.
type RowReport struct {
	Window int64 `json:"window"`
	// Token is the fencing token under which the report was recorded.
	Token int64 `json:"token"`
	// Accepted is true if the duty API is known to have accepted the report. Counts are empty then,
	// because the report is not sent again.
	Accepted bool             `json:"accepted,omitempty"`
	Counts   map[string]int64 `json:"counts,omitempty"`
}

// has reports whether the row holds a report for the window.
func (r *Row) has(window int64) bool {
	return slices.ContainsFunc(r.Reports, func(report RowReport) bool { return report.Window == window })
}

// waits reports whether the row holds a report for the window that is not marked as accepted.
func (r *Row) waits(window int64) bool {
	return slices.ContainsFunc(r.Reports, func(report RowReport) bool { return report.Window == window && !report.Accepted })
}

// newest returns the last window that the row decides on.
func (r *Row) newest() int64 {
	newest := r.Floor
	for _, report := range r.Reports {
		newest = max(newest, report.Window)
	}
	return newest
}

// with returns a copy of the row in an era, with another report. ok is false if there is no room: the oldest
// report is dropped only if it was accepted, or if its window is before givenUp.
func (r *Row) with(report RowReport, givenUp int64) (next Row, ok bool) {
	if r.has(report.Window) {
		return Row{}, false
	}
	next = r.clone()
	next.Reports = append(next.Reports, report)
	slices.SortFunc(next.Reports, func(a, b RowReport) int { return cmp.Compare(a.Window, b.Window) })
	for len(next.Reports) > maxRowReports {
		oldest := next.Reports[0]
		if oldest.Window == report.Window || (!oldest.Accepted && oldest.Window >= givenUp) {
			return Row{}, false
		}
		next.Floor = max(next.Floor, oldest.Window)
		next.Reports = next.Reports[1:]
	}
	return next, true
}

// dropOldest removes the oldest report that was not accepted, which is then not reported, and reports whether there
// was one.
func (r *Row) dropOldest() bool {
	i := slices.IndexFunc(r.Reports, func(report RowReport) bool { return !report.Accepted })
	if i < 0 {
		return false
	}
	r.Floor = max(r.Floor, r.Reports[i].Window)
	r.Reports = slices.Delete(r.Reports, i, i+1)
	return true
}

// accept marks the reports for which accepted returns true.
func (r *Row) accept(accepted func(window int64) bool) {
	for i := range r.Reports {
		if report := &r.Reports[i]; !report.Accepted && accepted(report.Window) {
			report.Accepted, report.Counts = true, nil
		}
	}
}

func (r *Row) clone() Row {
	c := *r
	c.Reports = slices.Clone(r.Reports)
	for i := range c.Reports {
		c.Reports[i].Counts = maps.Clone(c.Reports[i].Counts)
	}
	return c
}

// encode returns the value of the row; ok is false if it is too large for the store.
func (r *Row) encode() (value []byte, ok bool) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, false
	}
	if len(value) > packAbove {
		var packed bytes.Buffer
		w, _ := flate.NewWriter(&packed, flate.BestSpeed)
		_, err = w.Write(value)
		if err == nil {
			err = w.Close()
		}
		if err == nil {
			value, err = json.Marshal(Row{Era: r.Era, Floor: r.Floor, Packed: packed.Bytes()})
		}
	}
	return value, err == nil && len(value) <= maxRowBytes
}

// decodeRow reads the value of the row.
func decodeRow(value []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(value, &r); err != nil || r.Packed == nil {
		return r, err
	}
	unpacked, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Packed)), maxUnpackedBytes))
	if err != nil {
		return Row{}, err
	}
	r = Row{}
	return r, json.Unmarshal(unpacked, &r)
}

// lastWindowEndedBy returns the last window that ended at or before a time.
func lastWindowEndedBy(at time.Time, length time.Duration) int64 { return windowOf(at, length) - 1 }
