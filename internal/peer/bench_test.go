package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"heatherloom/internal/dispatch"
	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/relay"
	"heatherloom/internal/routing"
	"heatherloom/internal/standin"
)

const benchTokens = 1000

type discard struct{}

func (discard) Head(int, http.Header) error { return nil }
func (discard) Data([]byte) error           { return nil }

// BenchmarkForwardConnect and BenchmarkForwardPlain carry the same stream of tokens,
// one message or flush per token, through the same checks over HTTP/2 on loopback.
func BenchmarkForwardConnect(b *testing.B) {
	parts := []*peerv1.ForwardResponse{{Part: &peerv1.ForwardResponse_Head{Head: &peerv1.ForwardHead{
		Status: 200, Headers: map[string]string{"Content-Type": "text/event-stream"}}}}}
	for _, e := range standin.TokenEvents("r1", benchTokens) {
		parts = append(parts, &peerv1.ForwardResponse{Part: &peerv1.ForwardResponse_Data{Data: e}})
	}
	parts = append(parts, &peerv1.ForwardResponse{Part: &peerv1.ForwardResponse_End{End: &peerv1.ForwardEnd{Complete: true}}})
	p := routing.Peer{ID: "b", PeerAddress: startPeer(b, "secret", parts)}
	client := NewClient("a", "secret")
	b.ReportAllocs()
	for b.Loop() {
		r := &dispatch.Request{ID: "r1", Method: http.MethodPost, Path: "/v1/completions", Body: []byte("{}"), Stream: true, Position: &relay.Position{}}
		if result := client.Forward(context.Background(), p, r, discard{}); result.Err != nil {
			b.Fatal(result.Err)
		}
	}
	b.ReportMetric(benchTokens*float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
}

func BenchmarkForwardPlain(b *testing.B) {
	events := standin.TokenEvents("r1", benchTokens)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Protocols: protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		for _, e := range events {
			_, _ = w.Write(e)
			_ = http.NewResponseController(w).Flush()
		}
	})}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	client := NewClient("a", "secret")
	buf := make([]byte, 16<<10)
	b.ReportAllocs()
	for b.Loop() {
		resp, err := client.http.Post("http://"+listener.Addr().String(), "application/json", http.NoBody)
		if err != nil {
			b.Fatal(err)
		}
		copier := &relay.EventCopier{RequestID: "r1", Position: &relay.Position{}, MaxEventBytes: 1 << 20, Sink: discard{}}
		for !copier.Done() {
			n, err := resp.Body.Read(buf)
			if copier.Write(buf[:n]) != nil || (err != nil && !copier.Done()) {
				b.Fatal(err)
			}
		}
		_ = resp.Body.Close()
	}
	b.ReportMetric(benchTokens*float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
}
