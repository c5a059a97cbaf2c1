package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"heatherloom/internal/relay"
	"heatherloom/internal/retry"
	"heatherloom/internal/usage"
)

func breakOff(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against requests that are counted again with each attempt, and against usage of requests that have no client
// account or are not of a caller.
func TestARequestOfACallerIsCountedOnce(t *testing.T) {
	first, second := "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	for _, c := range []struct {
		name     string
		handlers []http.HandlerFunc
		change   func(*Request)
		want     int
	}{
		{"a stream", []http.HandlerFunc{respondAfter(0, streamOfTwo)}, nil, 1},
		{"a stream that is resumed elsewhere", []http.HandlerFunc{breakOff(first), respondAfter(0, second)}, nil, 1},
		{"a stream that broke before its first event", []http.HandlerFunc{breakOff(""), respondAfter(0, streamOfTwo)}, nil, 1},
		{"a stream whose caller resumes it", []http.HandlerFunc{respondAfter(0, second)}, func(r *Request) {
			r.StreamPosition = &relay.StreamPosition{LastEventID: 1, HasLastEventID: true}
		}, 0},
		{"a read that is repeated", []http.HandlerFunc{abort, respondAfter(0, "x")}, func(r *Request) { r.Stream = false }, 1},
		{"counted at another instance", []http.HandlerFunc{respondAfter(0, streamOfTwo)}, func(r *Request) { r.Counted = true }, 0},
		{"no account", []http.HandlerFunc{respondAfter(0, streamOfTwo)}, func(r *Request) { r.Account = "" }, 0},
		{"a probe of a rollout", []http.HandlerFunc{respondAfter(0, streamOfTwo)}, func(r *Request) { r.Probe = true }, 0},
	} {
		d, _ := newTestDispatcher(t, retry.Limits{Slack: 10}, c.handlers...)
		counted := map[string]int{}
		d.CountUsage = func(account string) { counted[account]++ }
		r := newStreamRequest(3)
		r.Account = "a"
		if c.change != nil {
			c.change(r)
		}
		err := d.Dispatch(context.Background(), r, &textSink{})
		if counted["a"] != c.want || len(counted) > 1 || err != nil {
			t.Errorf("%s: counted %v, error %v, want %d", c.name, counted, err, c.want)
		}
	}
}

// BenchmarkCountUsage measures a request over loopback with and without its usage counted.
func BenchmarkCountUsage(b *testing.B) {
	for _, counted := range []bool{false, true} {
		b.Run(fmt.Sprint("counted=", counted), func(b *testing.B) {
			d, _ := newTestDispatcher(b, retry.Limits{Slack: 10}, respondAfter(0, streamOfTwo))
			if counted {
				ledger, clock := usage.NewLedger(usage.Process{Instance: "a"}, 5*time.Second), usage.NewClock()
				d.CountUsage = func(account string) { ledger.Record(account, clock.Date(time.Now())) }
			}
			b.ReportAllocs()
			for b.Loop() {
				r := newStreamRequest(3)
				r.Account = "a"
				if err := d.Dispatch(context.Background(), r, &textSink{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
