package timeline

import (
	"cmp"
	"slices"
	"strings"
)

// eventKey identifies an event: a process uses each clock reading only once.
type eventKey struct {
	instance string
	clock    Stamp
}

// Merge returns the events of all lists in causal order without duplicates. Events
// that are not causally related are ordered by clock reading and then instance.
func Merge(lists ...[]Event) []Event {
	var merged []Event
	seen := map[eventKey]bool{}
	for _, list := range lists {
		for _, e := range list {
			key := eventKey{e.Instance, e.Clock}
			if !seen[key] {
				seen[key] = true
				merged = append(merged, e)
			}
		}
	}
	slices.SortFunc(merged, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Clock, b.Clock), strings.Compare(a.Instance, b.Instance))
	})
	return merged
}

// Filter selects events. Empty fields select everything.
type Filter struct {
	Request  string
	Account  string
	Version  string
	Instance string
}

// Apply returns the selected events. An event has the client account or the version only
// if they were known when it was recorded, so these two fields select all events of each
// request that has a matching event.
func (f Filter) Apply(events []Event) []Event {
	accounts := requestsWith(events, f.Account, func(e Event) string { return e.Account })
	versions := requestsWith(events, f.Version, func(e Event) string { return e.Version })
	var selected []Event
	for _, e := range events {
		if f.Request != "" && e.Request != f.Request {
			continue
		}
		if f.Instance != "" && e.Instance != f.Instance {
			continue
		}
		if f.Account != "" && e.Account != f.Account && !accounts[e.Request] {
			continue
		}
		if f.Version != "" && e.Version != f.Version && !versions[e.Request] {
			continue
		}
		selected = append(selected, e)
	}
	return selected
}

// requestsWith returns the ids of the requests with an event whose field has the
// wanted value.
func requestsWith(events []Event, value string, field func(Event) string) map[string]bool {
	requests := map[string]bool{}
	if value == "" {
		return requests
	}
	for _, e := range events {
		if e.Request != "" && field(e) == value {
			requests[e.Request] = true
		}
	}
	return requests
}
