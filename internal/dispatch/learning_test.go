package dispatch

import (
	"net/http"
	"testing"
	"time"

	"heatherloom/internal/clock"
	"heatherloom/internal/estimate"
	"heatherloom/internal/routing"
)

// Guards against estimates that callers drive with invalid requests, which upstreams answer without computing the prompt,
// and against whole responses whose time includes that of all their tokens.
func TestOnlyStreamsTeachHowLongAPromptTakes(t *testing.T) {
	stream := http.Header{"Content-Type": {"text/event-stream"}}
	for _, c := range []struct {
		name   string
		status int
		header http.Header
		took   time.Duration
		learns bool
	}{
		{"stream", http.StatusOK, stream, 3 * time.Second, true},
		{"whole response", http.StatusOK, http.Header{"Content-Type": {"application/json"}}, 3 * time.Second, false},
		{"invalid request", http.StatusBadRequest, http.Header{}, time.Millisecond, false},
	} {
		var service estimate.Service
		var counters routing.Counters
		counters.LearnFrom(&service)
		for range 50 {
			tracked := counters.Begin(clock.Now().Add(-c.took), 9000, 0)
			if err := (&firstByteSink{Sink: &textSink{}, tracked: tracked}).Head(c.status, c.header); err != nil {
				t.Fatal(err)
			}
			tracked.End(clock.Now())
		}
		if factor := service.View(clock.Now().UnixNano()).TimeFactor; (factor != 1) != c.learns {
			t.Errorf("%s: factor %.2f, learned %t wanted", c.name, factor, c.learns)
		}
	}
}
