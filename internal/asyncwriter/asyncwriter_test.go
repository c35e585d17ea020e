package asyncwriter

import (
	"fmt"
	"strings"
	"testing"

	"calicohinge/internal/testkit"
)

// gatedWriter blocks in each write until it receives a permit.
type gatedWriter struct {
	permits chan struct{}
	text    strings.Builder
}

func (w *gatedWriter) Write(line []byte) (int, error) {
	<-w.permits
	return w.text.Write(line)
}

// writeLines writes count numbered lines.
func writeLines(t *testing.T, w *Writer, count int) {
	t.Helper()
	for i := range count {
		if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
}

// Close waits until the queued lines are written. Write after Close returns no error.
func TestLinesAreWrittenInOrder(t *testing.T) {
	target := &gatedWriter{permits: make(chan struct{}, 3)}
	w := New(target)
	for range 3 {
		target.permits <- struct{}{}
	}
	writeLines(t, w, 3)
	w.Close(testkit.WaitTimeout)
	if got, want := target.text.String(), "line 0\nline 1\nline 2\n"; got != want {
		t.Errorf("wrote %q, want %q", got, want)
	}
	writeLines(t, w, 1) // returns no error, although the line is not written
}

// While the target is blocked, lines that do not fit into the queue are dropped. Once the target accepts lines again,
// the number of dropped lines is written before the next line.
func TestBlockedTargetDelaysNeitherWriteNorClose(t *testing.T) {
	target := &gatedWriter{permits: make(chan struct{}, maxQueuedLines+2)}
	w := New(target)
	writeLines(t, w, 1)
	testkit.WaitUntil(t, "the target to block", func() bool { return len(w.lines) == 0 })
	writeLines(t, w, maxQueuedLines+5)
	for range maxQueuedLines + 2 {
		target.permits <- struct{}{}
	}
	testkit.WaitUntil(t, "the queue to be written", func() bool { return len(w.lines) == 0 })
	writeLines(t, w, 1)
	w.Close(testkit.WaitTimeout)
	if text := target.text.String(); !strings.HasSuffix(text, "\n5 log lines dropped\nline 0\n") {
		t.Errorf("end of the output: got %q, want the count of 5 dropped lines and line 0", text[max(0, len(text)-80):])
	}

	blocked := New(&gatedWriter{})
	writeLines(t, blocked, 1)
	blocked.Close(0)
}
