package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the queue of unwritten lines: one second of the heaviest load.
	maxQueuedLines = 2048
	// flushTimeout bounds the wait for the last lines when the process ends.
	flushTimeout = 200 * time.Millisecond
)

// AsyncWriter writes lines in the background, so that a slow reader of the output never
// blocks the process. Lines are dropped while the queue is full, and their number is logged
// with the next line that is written. It is safe for concurrent use.
type AsyncWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	once    sync.Once
}

// NewAsyncWriter returns a writer to out and starts its goroutine.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write implements io.Writer. It never fails.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

func (w *AsyncWriter) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		if len(line) == 0 {
			return
		}
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(out, "level=warning event=log_dropped lines=%d\n", n)
		}
		_, _ = out.Write(line)
	}
}

// Close writes the queued lines, but returns after flushTimeout at the latest.
func (w *AsyncWriter) Close() {
	w.once.Do(func() {
		_, _ = w.Write(nil)
		select {
		case <-w.done:
		case <-time.After(flushTimeout):
		}
	})
}
