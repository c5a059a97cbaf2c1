// Package invariant checks at run time what must always hold. A violation panics
// under `go test`, so that a randomized run fails at once. In production it is
// counted by name and logged, and the request goes on.
package invariant

import (
	"fmt"
	"sync/atomic"
	"testing"
)

// Name identifies an invariant of section 1.2 of the design page. It is a metric
// label, so the list is closed.
type Name int

// The invariants.
const (
	RegionBinding     Name = iota + 1 // I1
	NoLoop                            // I2
	PartitionService                  // I3
	KeyAccount                        // I4
	KeySecrecy                        // I5
	KeyRevocation                     // I6
	AccountRate                       // I7
	BadVersionShare                   // I8
	WholeOwnResponse                  // I9
	TruthfulRejection                 // I10
	WriteOnce                         // I11
	LeavingUpstream                   // I12
	GracefulShutdown                  // I13
	ConfigMonotonic                   // I14
	nameCount         = int(ConfigMonotonic)
)

// String returns the id of the design page, for example I7.
func (n Name) String() string { return fmt.Sprintf("I%d", int(n)) }

// Names returns all invariants in order.
func Names() []Name {
	names := make([]Name, nameCount)
	for i := range names {
		names[i] = Name(i + 1)
	}
	return names
}

// Violation describes one violation.
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

// Check reports a violation of name if ok is false. It returns ok. The arguments
// are allocated in any case; the request path tests the condition itself and calls
// Violated.
func Check(ok bool, name Name, format string, args ...any) bool {
	if !ok {
		Violated(name, format, args...)
	}
	return ok
}

// Violated reports a violation of name.
func Violated(name Name, format string, args ...any) {
	violated(Violation{Name: name, Message: fmt.Sprintf(format, args...)}, testing.Testing())
}

// violated counts and reports v; it panics with v if fatal is true.
func violated(v Violation, fatal bool) {
	counts[v.Name].Add(1)
	if fatal {
		panic(v)
	}
	if report := reporter.Load(); report != nil {
		(*report)(v)
	}
}

// Count returns the violations of name since the process started.
func Count(name Name) int64 { return counts[name].Load() }

// SetReporter sets the function that logs violations in production. It is called
// on the goroutine that found the violation.
func SetReporter(report func(Violation)) { reporter.Store(&report) }
