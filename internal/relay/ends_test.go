package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"heatherloom/internal/errkind"
	"heatherloom/internal/retry"
)

// framedResponse is a valid response; closed means that the body ends with its connection.
type framedResponse struct {
	method, head, body string
	stream, closed     bool
}

const (
	streamHead  = validHead + "Content-Type: text/event-stream\r\n"
	chunkedBody = "6;name=\"value\"\r\nanswer\r\n0;last\r\n"
	chunkedLine = "Transfer-Encoding: chunked\r\n\r\n"
	lengthLine  = "Content-Length: 6\r\n\r\n"
)

// framedResponses are whole responses in each way that tells where one ends.
var framedResponses = map[string]framedResponse{
	"length first":            {head: "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nId: r1\r\nSig: s\r\n\r\n", body: "answer"},
	"length last":             {head: "HTTP/1.1 " + validHead + lengthLine, body: "answer"},
	"length of 0":             {head: "HTTP/1.1 " + validHead + "Content-Length: 0\r\n\r\n"},
	"old version length":      {head: "HTTP/1.0 " + validHead + lengthLine, body: "answer"},
	"bare line feeds":         {head: "HTTP/1.1 200 OK\nId: r1\nSig: s\nContent-Length: 6\n\n", body: "answer"},
	"folded lines":            {head: "HTTP/1.1 " + validHead + "Fold: a\r\n b\r\n\tc\r\n \r\n" + lengthLine, body: "answer"},
	"folded length":           {head: "HTTP/1.1 " + validHead + "Content-Length:\r\n 6\r\n\r\n", body: "answer"},
	"behind interim heads":    {head: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 " + validHead + lengthLine, body: "answer"},
	"unframed":                {head: "HTTP/1.1 " + validHead + "\r\n", body: "answer", closed: true},
	"old version unframed":    {head: "HTTP/1.0 " + validHead + "\r\n", body: "answer", closed: true},
	"chunks":                  {head: "HTTP/1.1 " + validHead + chunkedLine, body: chunkedBody + "\r\n"},
	"chunks and trailer":      {head: "HTTP/1.1 " + validHead + "Trailer: Sum\r\n" + chunkedLine, body: chunkedBody + "Sum: 1\r\n\r\n"},
	"HEAD":                    {method: http.MethodHead, head: "HTTP/1.1 " + validHead + lengthLine},
	"HEAD chunks":             {method: http.MethodHead, head: "HTTP/1.1 " + validHead + chunkedLine},
	"HEAD unframed":           {method: http.MethodHead, head: "HTTP/1.1 " + validHead + "\r\n"},
	"204":                     {head: "HTTP/1.1 204 No Content\r\nId: r1\r\nSig: s\r\n\r\n"},
	"304":                     {head: "HTTP/1.1 304 Not Modified\r\nId: r1\r\nSig: s\r\nContent-Length: 6\r\n\r\n"},
	"429 that was executed":   {head: "HTTP/1.1 429 Too Many Requests\r\nId: r1\r\nSig: s\r\n" + lengthLine, body: "answer"},
	"stream length":           {head: "HTTP/1.1 " + streamHead + "Content-Length: 32\r\n\r\n", body: numbered(1) + numbered(2), stream: true},
	"stream unframed":         {head: "HTTP/1.1 " + streamHead + "\r\n", body: numbered(1) + numbered(2), stream: true, closed: true},
	"stream old version":      {head: "HTTP/1.0 " + streamHead + "\r\n", body: numbered(1) + numbered(2), stream: true, closed: true},
	"stream chunks":           {head: chunkedHead, body: chunk(numbered(1)) + chunk(numbered(2)) + "0\r\n\r\n", stream: true},
	"stream chunks of half":   {head: chunkedHead, body: chunk("id: 1\nda") + chunk("ta: d1\n\n") + "0\r\n\r\n", stream: true},
	"stream chunks trailer":   {head: chunkedHead, body: chunk(numbered(1)) + "0\r\nSum: 1\r\nSum: 2\r\n\r\n", stream: true},
	"stream plain answer":     {head: "HTTP/1.1 " + validHead + lengthLine, body: "answer", stream: true},
	"stream interim no event": {head: "HTTP/1.1 103 Early Hints\r\n\r\n" + chunkedHead, body: "0\r\n\r\n", stream: true},
}

// Guards against a response that breaks off at any byte and is delivered as whole, counts as not executed, or
// counts as invalid bytes instead of an upstream that ended.
func TestExchangeDeliversNoResponseThatBreaksOff(t *testing.T) {
	for name, response := range framedResponses {
		t.Run(name, func(t *testing.T) {
			for _, reset := range []bool{false, true} {
				for _, kept := range []bool{false, true} {
					t.Run(fmt.Sprintf("reset %t, kept connection %t", reset, kept), func(t *testing.T) {
						t.Parallel()
						response.expectNoneCut(t, reset, kept)
					})
				}
			}
		})
	}
}

// expectNoneCut sends a request for each number of bytes after which the upstream ends the connection. On a kept
// one, the upstream rejects a request before.
func (f framedResponse) expectNoneCut(t *testing.T, reset, kept bool) {
	t.Helper()
	text, end, requests := f.head+f.body, closeConn, 1
	if reset {
		end = resetConn
	}
	if kept {
		requests = 2
	}
	u := startByteUpstream(t, func(n int) (string, func(net.Conn)) {
		if kept && n%2 == 1 {
			return response("503 Busy\r\nId: r1\r\nNot-Run: 1\r\n", "full"), nil
		}
		return text[:(n-1)/requests], end
	})
	r := New(DefaultLimits())
	for n := range len(text) {
		if kept {
			if result := r.Do(context.Background(), newAttempt(u), &memorySink{}); result.Outcome != retry.Rejected {
				t.Fatalf("the first request on the connection ended with %v", result.Err)
			}
		}
		f.expectCut(t, r, u, n, reset)
	}
	u.mu.Lock()
	conns := u.conns
	u.mu.Unlock()
	// A busy instance does not keep each connection.
	if conns > len(text)*3/2 {
		t.Errorf("%d connections for %d responses", conns, len(text))
	}
	if reset {
		return
	}
	if kept {
		_ = r.Do(context.Background(), newAttempt(u), &memorySink{})
	}
	if result := r.Do(context.Background(), f.attempt(u), &memorySink{}); result.Err != nil {
		t.Errorf("the whole response failed: %v", result.Err)
	}
}

func (f framedResponse) attempt(u *byteUpstream) Attempt {
	a := newAttempt(u)
	if f.method != "" {
		a.Method = f.method
	}
	if f.stream {
		a.StreamPosition = &StreamPosition{}
	}
	return a
}

// expectCut sends a request whose response ends after n bytes.
func (f framedResponse) expectCut(t *testing.T, r *Relay, u *byteUpstream, n int, reset bool) {
	t.Helper()
	sink := &memorySink{}
	result := r.Do(context.Background(), f.attempt(u), sink)
	inHead, cut := n < len(f.head), (f.head + f.body)[:n]
	switch {
	case result.Err == nil && (inHead || reset || !f.closed || !result.EndedByClose || sink.body.String() != f.body[:n-len(f.head)]):
		t.Errorf("end after %q: delivered %d %q as whole", cut, sink.status, sink.body.String())
	case result.Err == nil:
	case sink.status != 0 && (inHead || !f.stream):
		t.Errorf("end after %q: delivered %d %q", cut, sink.status, sink.body.String())
	case !strings.HasPrefix(numbered(1)+numbered(2), sink.body.String()):
		t.Errorf("end after %q: the stream has %q", cut, sink.body.String())
	case result.Err.Execution == errkind.NotExecuted:
		t.Errorf("end after %q: counts as not executed", cut)
	case inHead != (result.Outcome == retry.Crashed), !inHead && (result.Outcome != retry.Truncated || !result.ConnectionBroken):
		t.Errorf("end after %q: outcome %d, broken %t (%v)", cut, result.Outcome, result.ConnectionBroken, result.Err.Cause)
	}
}
