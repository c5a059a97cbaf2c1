package main

import (
	"strings"
	"testing"

	"heatherloom/internal/operatorapi"
)

// Guards against duties that operators cannot see, and against an empty table where the settings name none.
func TestStatusShowsDuties(t *testing.T) {
	var out strings.Builder
	if err := printStatus(&out, operatorapi.Status{}); err != nil || strings.Contains(out.String(), "DUTY") {
		t.Errorf("without duties: %s (%v)", out.String(), err)
	}
	out.Reset()
	err := printStatus(&out, operatorapi.Status{Duties: []operatorapi.Duty{
		{
			Name: "usage_report", Holder: "a-1", Held: true, Token: 12, LastCall: "accepted", LastCallSeconds: 3,
			Usage: &operatorapi.DutyUsage{LastWindow: 7, LastDelaySeconds: 1.6, Windows: map[string]int64{"left_out": 2, "in_time": 9}},
		},
		{Name: "autoscaler", Orders: []operatorapi.DutyCapacity{{Service: "s", FailureDomain: "a", Ordered: 6, Running: 4, Reason: "80% in use"}}},
	}})
	got := strings.Join(strings.Fields(out.String()), " ")
	for _, want := range []string{
		"usage_report a-1 held 12 accepted, 3 s ago", "autoscaler - - 0 -", "usage_report 7 1.6 s 9 in_time, 2 left_out", "s a 6 4 80% in use",
	} {
		if err != nil || !strings.Contains(got, want) {
			t.Errorf("the status lacks %q: %s (%v)", want, out.String(), err)
		}
	}
}
