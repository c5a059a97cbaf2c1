package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"heatherloom/internal/standin"
)

type discard struct{}

func (discard) Head(int, http.Header) error { return nil }
func (discard) Data([]byte) error           { return nil }

// BenchmarkStream measures a stream over loopback TCP with one flush per token. The
// server runs in the same process and shares the cores.
func BenchmarkStream(b *testing.B) {
	const tokens = 1000
	events := standin.TokenEvents("r1", tokens)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		w.Header().Set("Content-Type", "text/event-stream")
		for _, e := range events {
			_, _ = w.Write(e)
			_ = http.NewResponseController(w).Flush()
		}
	}))
	defer server.Close()
	r := New(DefaultLimits())
	a := Attempt{RequestID: "r1", Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodPost, Path: "/", Repeatable: true, Completion: true}
	for b.Loop() {
		a.Stream = &Position{}
		if result := r.Do(context.Background(), a, discard{}); result.Err != nil {
			b.Fatal(result.Err)
		}
	}
	b.ReportMetric(tokens*float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
}
