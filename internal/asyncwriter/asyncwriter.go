// Package asyncwriter writes log lines asynchronously. A node must not stop serving or fail to shut down because
// the reader of its log is slow or has exited. The balancer program creates a Writer for its standard error and
// closes it on exit. While the target of the Writer blocks, lines may be lost.
package asyncwriter

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// maxQueuedLines is the capacity of the queue. Lines that do not fit are dropped.
const maxQueuedLines = 256

// Writer queues lines and writes them to its target in a goroutine of its own. It is safe for concurrent use.
type Writer struct {
	target io.Writer
	done   chan struct{} // closed when all queued lines are written

	mu      sync.Mutex
	lines   chan []byte // the queue, which holds copies of the lines
	dropped int         // number of lines dropped since a line was last queued
	closed  bool        // whether Close was called
}

// New returns a Writer to target and starts its goroutine. Close ends the goroutine.
func New(target io.Writer) *Writer {
	w := &Writer{target: target, done: make(chan struct{}), lines: make(chan []byte, maxQueuedLines)}
	go w.run()
	return w
}

// Write queues a copy of line. It never blocks and never fails. If the queue is full, it drops the line; before the
// next line that fits, it inserts a line with the number of dropped lines.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	entry := bytes.Clone(line)
	if w.dropped > 0 {
		entry = append(fmt.Appendf(nil, "%d log lines dropped\n", w.dropped), entry...)
	}
	select {
	case w.lines <- entry:
		w.dropped = 0
	default:
		w.dropped++
	}
	return len(line), nil
}

// Close waits until the queued lines are written, but no longer than timeout. Lines passed to Write after Close are
// dropped.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// run writes the queued lines until the queue is closed and empty.
func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		_, _ = w.target.Write(line) // a failure to write the log cannot be reported anywhere
	}
}
