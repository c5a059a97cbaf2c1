// Package invariant checks invariants at run time. A violation panics under `go test`, so
// that a randomized run fails immediately. In production it is counted by name and logged,
// and the request continues.
package invariant

import (
	"fmt"
	"sync/atomic"
	"testing"
)

// Name identifies an invariant from section 1.2 of the design page. It is used as a metric
// label, so the set of names is fixed.
type Name int

// The invariants, with their ids on the design page.
const (
	RegionBinding      Name = iota + 1 // I1
	NoLoop                             // I2
	PartitionTolerance                 // I3
	KeyAccount                         // I4
	KeySecrecy                         // I5
	KeyRevocation                      // I6
	AccountRate                        // I7
	BadVersionShare                    // I8
	ResponseIntegrity                  // I9
	TruthfulRejection                  // I10
	WriteOnce                          // I11
	LeavingUpstream                    // I12
	GracefulShutdown                   // I13
	ConfigMonotonic                    // I14
	nameCount          = int(ConfigMonotonic)
)

// String returns the id used on the design page, for example I7.
func (n Name) String() string { return fmt.Sprintf("I%d", int(n)) }

// Names returns all invariants in order.
func Names() []Name {
	names := make([]Name, nameCount)
	for i := range names {
		names[i] = Name(i + 1)
	}
	return names
}

// Violation describes a violated invariant.
type Violation struct {
	Name    Name
	Message string
}

// Error implements error.
func (v Violation) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", v.Name, v.Message)
}

var (
	counts   [nameCount + 1]atomic.Int64
	reporter atomic.Pointer[func(Violation)]
)

// Check reports a violation of name if ok is false, and returns ok. Its arguments are
// allocated even if ok is true, so the request path tests the condition itself and calls
// ReportViolation.
func Check(ok bool, name Name, format string, args ...any) bool {
	if !ok {
		ReportViolation(name, format, args...)
	}
	return ok
}

// ReportViolation reports a violation of name.
func ReportViolation(name Name, format string, args ...any) {
	handleViolation(Violation{Name: name, Message: fmt.Sprintf(format, args...)}, testing.Testing())
}

// handleViolation counts v and reports it, or panics with v if fatal is true.
func handleViolation(v Violation, fatal bool) {
	counts[v.Name].Add(1)
	if fatal {
		panic(v)
	}
	if report := reporter.Load(); report != nil {
		(*report)(v)
	}
}

// Count returns the number of violations of name since the process started.
func Count(name Name) int64 { return counts[name].Load() }

// SetReporter sets the function that logs violations in production. The function is called
// on the goroutine that detected the violation.
func SetReporter(report func(Violation)) { reporter.Store(&report) }
