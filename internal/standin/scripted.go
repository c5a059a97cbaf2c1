package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"golang.org/x/net/http2"
)

// ScriptedServer is an upstream or peer whose response bytes are written by a script, for
// faults that the HTTP server of the standard library cannot produce.
type ScriptedServer struct {
	net.Listener
	requests atomic.Int64
}

// RequestCount returns the number of completely received requests.
func (s *ScriptedServer) RequestCount() int64 { return s.requests.Load() }

// HTTP1Script responds to one HTTP/1.1 request and reports whether the connection stays open.
// n counts the requests of all connections, starting at 1.
type HTTP1Script func(n int64, c net.Conn) bool

// StartScriptedHTTP1 starts an HTTP/1.1 upstream on a free port.
func StartScriptedHTTP1(script HTTP1Script) (*ScriptedServer, error) {
	return startScripted(func(s *ScriptedServer, c net.Conn) {
		in := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			if !script(s.requests.Add(1), c) {
				return
			}
		}
	})
}

// HTTP2Script responds to a completely received HTTP/2 request on the stream with the
// given id and reports whether the connection stays open.
type HTTP2Script func(f *http2.Framer, id uint32) bool

// StartScriptedHTTP2 starts a cleartext HTTP/2 peer on a free port.
func StartScriptedHTTP2(script HTTP2Script) (*ScriptedServer, error) {
	return startScripted(func(s *ScriptedServer, c net.Conn) {
		if _, err := io.ReadFull(c, make([]byte, len(http2.ClientPreface))); err != nil {
			return
		}
		framer := http2.NewFramer(c, c)
		if framer.WriteSettings() != nil {
			return
		}
		s.serveFrames(framer, script)
	})
}

func (s *ScriptedServer) serveFrames(framer *http2.Framer, script HTTP2Script) {
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		if settings, ok := frame.(*http2.SettingsFrame); ok && !settings.IsAck() {
			_ = framer.WriteSettingsAck()
		}
		data, ok := frame.(*http2.DataFrame)
		if !ok || !data.StreamEnded() {
			continue
		}
		s.requests.Add(1)
		if !script(framer, data.StreamID) {
			return
		}
	}
}

func startScripted(serve func(*ScriptedServer, net.Conn)) (*ScriptedServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &ScriptedServer{Listener: listener}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(s, c)
			}()
		}
	}()
	return s, nil
}

// TokenEvents returns the events of a stream of n tokens of typical size, followed by the
// [DONE] event.
func TokenEvents(requestID string, n int) [][]byte {
	events := make([][]byte, 0, n+1)
	for i := range n {
		events = append(events, fmt.Appendf(nil, "id: %d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"created\":1767225600,"+
			"\"model\":\"lantern\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\" token\"},\"finish_reason\":null}]}\n\n", i, requestID))
	}
	return append(events, []byte("data: [DONE]\n\n"))
}
