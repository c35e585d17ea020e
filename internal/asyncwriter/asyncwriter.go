// Package asyncwriter writes log lines without making their writers wait. A node must not stop serving,
// or fail to shut down, because the reader of its log is slow or has exited. The balancer program creates
// a Writer for its standard error and closes it when it exits. The package owns the queued lines; lines may
// be lost while the target blocks.
package asyncwriter

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// maxQueuedLines is how many lines may wait to be written; further ones are dropped.
const maxQueuedLines = 256

// Writer passes lines on to another writer in its own goroutine. Its methods may be called from several
// goroutines.
type Writer struct {
	target io.Writer
	done   chan struct{} // closed when all lines are written

	mu      sync.Mutex
	lines   chan []byte
	dropped int // since a line was last queued
	closed  bool
}

// New returns a writer to target. Close ends its goroutine.
func New(target io.Writer) *Writer {
	w := &Writer{target: target, done: make(chan struct{}), lines: make(chan []byte, maxQueuedLines)}
	go w.run()
	return w
}

// Write queues a line. It never blocks and never fails. If the queue is full it drops the line; the next
// line that fits is preceded by the number of dropped lines.
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

// Close waits until the queued lines are written, for timeout at most. Lines that are written after Close
// are dropped.
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
		_, _ = w.target.Write(line) // there is no other place to report a failure
	}
}
