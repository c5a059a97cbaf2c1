package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// doneLine ends a complete stream of the OpenAI-compatible API.
var doneLine = []byte("data: [DONE]")

// copyBufferBytes holds several events of a stream.
const copyBufferBytes = 16 << 10

// copyStream passes server-sent events on as they arrive. The stream is whole only
// if its last event is the done event.
func copyStream(ctx context.Context, cancel context.CancelCauseFunc, resp *http.Response, sink Sink) Result {
	started := false
	var tail doneDetector
	progress := time.AfterFunc(progressTimeout, func() { cancel(errNoProgress) })
	defer progress.Stop()
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		progress.Reset(progressTimeout)
		if n > 0 {
			if !started {
				started = true
				if err := sink.Head(resp.StatusCode, answerHeader(resp.Header)); err != nil {
					return callerGone(err)
				}
			}
			tail.write(buf[:n])
			if err := sink.Data(buf[:n]); err != nil {
				return callerGone(err)
			}
		}
		if err == nil {
			continue
		}
		if tail.done && errors.Is(err, io.EOF) {
			return Result{Started: started}
		}
		return bodyFailure(ctx, err, started)
	}
}

// doneDetector finds the done event at a line start, also across reads.
type doneDetector struct {
	line []byte
	done bool
}

func (d *doneDetector) write(p []byte) {
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			d.keep(p)
			return
		}
		d.keep(p[:i])
		if bytes.Equal(bytes.TrimRight(d.line, "\r"), doneLine) {
			d.done = true
		}
		d.line = d.line[:0]
		p = p[i+1:]
	}
}

// keep stores no more of a line than it takes to compare it with the done event.
func (d *doneDetector) keep(p []byte) {
	room := len(doneLine) + 2 - len(d.line)
	d.line = append(d.line, p[:min(max(room, 0), len(p))]...)
}
