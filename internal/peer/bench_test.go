package peer

import (
	"context"
	"net/http"
	"testing"

	"heatherloom/internal/dispatch"
	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/relay"
	"heatherloom/internal/routing"
	"heatherloom/internal/standin"
)

const tokensPerStream = 1000

type discardSink struct{}

func (discardSink) Head(int, http.Header) error { return nil }
func (discardSink) Data([]byte) error           { return nil }

// BenchmarkTokens sends the same token stream, one message or flush per token, over
// loopback with the same checks: from an upstream through the relay, and between
// instances over HTTP/2 with and without connect-go. Sender and receiver share the
// processor cores.
func BenchmarkTokens(b *testing.B) {
	events := standin.TokenEvents("r1", tokensPerStream)
	parts := []*peerv1.ForwardResponse{headPart("text/event-stream")}
	for _, e := range events {
		parts = append(parts, dataPart(string(e)))
	}
	p := routing.Peer{ID: "b", PeerAddress: startPeer(b, "secret", append(parts, endPart))}
	client := NewClient("a", "secret")
	b.Run("forward-connect", func(b *testing.B) {
		for b.Loop() {
			r := &dispatch.Request{ID: "r1", Path: "/v1/completions", Body: []byte("{}"), Stream: true, StreamPosition: &relay.StreamPosition{}}
			if result := client.Forward(context.Background(), p, r, discardSink{}); result.Err != nil {
				b.Fatal(result.Err)
			}
		}
		b.ReportMetric(tokensPerStream*float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
	})
	address := serve(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(relay.HeaderRequestID, r.Header.Get(relay.HeaderRequestID))
		w.Header().Set("Content-Type", "text/event-stream")
		for _, e := range events {
			_, _ = w.Write(e)
			_ = http.NewResponseController(w).Flush()
		}
	}))
	b.Run("relay", func(b *testing.B) {
		r := relay.New(relay.DefaultLimits())
		a := relay.Attempt{RequestID: "r1", Address: address, Method: http.MethodPost, Path: "/", Repeatable: true, Completion: true}
		for b.Loop() {
			a.StreamPosition = &relay.StreamPosition{}
			if result := r.Do(context.Background(), a, discardSink{}); result.Err != nil {
				b.Fatal(result.Err)
			}
		}
		b.ReportMetric(tokensPerStream*float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
	})
	b.Run("forward-plain", func(b *testing.B) {
		buf := make([]byte, 16<<10)
		for b.Loop() {
			resp, err := client.http.Post("http://"+address, "application/json", http.NoBody)
			if err != nil {
				b.Fatal(err)
			}
			copier := &relay.EventCopier{RequestID: "r1", Position: &relay.StreamPosition{}, MaxEventBytes: 1 << 20, Sink: discardSink{}}
			for !copier.Done() {
				n, err := resp.Body.Read(buf)
				if copier.Write(buf[:n]) != nil || (err != nil && !copier.Done()) {
					b.Fatal(err)
				}
			}
			_ = resp.Body.Close()
		}
		b.ReportMetric(tokensPerStream*float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
	})
}
