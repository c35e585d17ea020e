package asyncwriter

import (
	"fmt"
	"strings"
	"testing"

	"calicohinge/internal/testkit"
)

// gatedWriter blocks in each write until it gets a permit.
type gatedWriter struct {
	permits chan struct{}
	text    strings.Builder
}

func (w *gatedWriter) Write(line []byte) (int, error) {
	<-w.permits
	return w.text.Write(line)
}

// writeLines writes numbered lines.
func writeLines(t *testing.T, w *Writer, count int) {
	t.Helper()
	for i := range count {
		if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
}

// Lines are written in order, and Close waits for them.
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
	writeLines(t, w, 1) // does not fail after Close
}

// A target that blocks delays neither Write nor Close, and a later line gives the number of
// dropped lines.
func TestBlockedTargetDelaysNeitherWriteNorClose(t *testing.T) {
	target := &gatedWriter{permits: make(chan struct{}, maxQueuedLines+2)}
	w := New(target)
	writeLines(t, w, 1)
	testkit.Until(t, "the target to block", func() bool { return len(w.lines) == 0 })
	writeLines(t, w, maxQueuedLines+5)
	for range maxQueuedLines + 2 {
		target.permits <- struct{}{}
	}
	testkit.Until(t, "the queue to be written", func() bool { return len(w.lines) == 0 })
	writeLines(t, w, 1)
	w.Close(testkit.WaitTimeout)
	if text := target.text.String(); !strings.HasSuffix(text, "\n5 log lines dropped\nline 0\n") {
		t.Errorf("ended with %q", text[max(0, len(text)-80):])
	}

	blocked := New(&gatedWriter{})
	writeLines(t, blocked, 1)
	blocked.Close(0)
}
