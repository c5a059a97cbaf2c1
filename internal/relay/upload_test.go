package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"heatherloom/internal/errkind"
)

const (
	// uploadRead is how much of a request the upstream reads before it responds, and uploadSettle the time
	// between its response and the end of the connection.
	uploadRead   = 4 << 10
	uploadSettle = 20 * time.Millisecond
)

// uploadEnds are the ways in which an upstream ends a connection from which it has not read the whole request.
var uploadEnds = map[string]func(net.Conn){
	"reset":           resetConn,
	"close":           closeConn,
	"half close":      halfClose,
	"half then reset": func(c net.Conn) { halfClose(c); time.Sleep(uploadSettle); resetConn(c) },
}

func halfClose(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }

// startUploadUpstream responds to each request with text as soon as it has read readBytes of it, and then ends
// the connection.
func startUploadUpstream(t *testing.T, text string, readBytes int, end func(net.Conn)) *byteUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				t.Cleanup(func() { _ = c.Close() })
				_, _ = io.ReadFull(c, make([]byte, readBytes))
				_, _ = io.WriteString(c, text)
				time.Sleep(uploadSettle)
				end(c)
			}()
		}
	}()
	return &byteUpstream{listener: l}
}

// Guards against part of a response that is delivered as whole, because its upstream ended the connection while the
// request was still being sent.
func TestAResponseThatEndsDuringTheUploadIsNotWhole(t *testing.T) {
	heads := map[string]string{
		"unframed":             "HTTP/1.1 " + validHead + "\r\n",
		"unframed and closing": "HTTP/1.1 " + validHead + "Connection: close\r\n\r\n",
		"old version":          "HTTP/1.0 " + validHead + "\r\n",
	}
	for name, head := range heads {
		for end, endConn := range uploadEnds {
			sizes := []int{8 << 20, 32 << 20}
			if end == "reset" || end == "close" {
				// The kernel of the upstream takes this whole request, so that only a reset shows that it was not read.
				sizes = append(sizes, 64<<10)
			}
			for _, size := range sizes {
				for _, stream := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, %s, %d bytes, stream %t", name, end, size, stream), func(t *testing.T) {
						expectUnfinished(t, head, endConn, size, stream)
					})
				}
			}
		}
	}
}

func expectUnfinished(t *testing.T, head string, end func(net.Conn), size int, stream bool) {
	t.Helper()
	text := head + "part of it"
	if stream {
		text = strings.Replace(head, validHead, streamHead, 1) + numbered(1)
	}
	u := startUploadUpstream(t, text, uploadRead, end)
	a := newAttempt(u)
	a.Body = bytes.Repeat([]byte("x"), size)
	if stream {
		a.StreamPosition = &StreamPosition{}
	}
	result := New(DefaultLimits()).Do(context.Background(), a, &memorySink{})
	switch {
	case result.Err == nil:
		t.Error("the response is delivered as whole")
	case result.Err.Execution == errkind.NotExecuted:
		t.Errorf("the request counts as not executed: %v", result.Err)
	case !result.UpstreamFault:
		t.Errorf("the upstream is not at fault: %v", result.Err)
	}
}

// Guards against a check of unfinished uploads that fails responses whose end is certain: a request that was sent
// whole, or a response that says its length.
func TestAResponseWithACertainEndIsWhole(t *testing.T) {
	const body = 8 << 20
	request := func(u *byteUpstream) Attempt {
		a := newAttempt(u)
		a.Body = bytes.Repeat([]byte("x"), body)
		return a
	}
	t.Run("the request was sent whole", func(t *testing.T) {
		u := startByteUpstream(t, func(int) (string, func(net.Conn)) { return "HTTP/1.1 " + validHead + "\r\nanswer", closeConn })
		sink := &memorySink{}
		if result := New(DefaultLimits()).Do(context.Background(), request(u), sink); result.Err != nil || sink.body.String() != "answer" {
			t.Errorf("%v, body %q", result.Err, sink.body.String())
		}
	})
	t.Run("the response says its length", func(t *testing.T) {
		u := startUploadUpstream(t, "HTTP/1.1 "+validHead+lengthLine+"answer", uploadRead, func(net.Conn) {})
		sink := &memorySink{}
		if result := New(DefaultLimits()).Do(context.Background(), request(u), sink); result.Err != nil || sink.body.String() != "answer" {
			t.Errorf("%v, body %q", result.Err, sink.body.String())
		}
	})
}

// Guards against a status that no response can have and that is passed on to the caller.
func TestAnImpossibleStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "0", "20", "600", "999", "1000", "2000", "-20", "+200", "2e2"} {
		for _, api := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, API %t", status, api), func(t *testing.T) {
				u := startByteUpstream(t, func(int) (string, func(net.Conn)) {
					return "HTTP/1.1 " + status + " OK\r\nId: r1\r\nSig: s\r\nX-Request-Id: r1\r\n" + lengthLine + "answer", closeConn
				})
				a := newAttempt(u)
				if api {
					a.Protocol, a.Path = nil, "/a"
				}
				sink := &memorySink{}
				if result := New(DefaultLimits()).Do(context.Background(), a, sink); result.Err == nil || result.ErrorResponse != nil || sink.status != 0 {
					t.Errorf("passed on with status %d, error response %v, %v", sink.status, result.ErrorResponse, result.Err)
				}
			})
		}
	}
}
