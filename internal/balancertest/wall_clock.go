package balancertest

import (
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// WallClock steps the wall clock of one process of a program that BuildInstrumented has built.
type WallClock struct{ path string }

// NewWallClock returns a clock that is ahead by some time when its process starts.
func NewWallClock(tb testing.TB, offset time.Duration) WallClock {
	tb.Helper()
	clock := WallClock{filepath.Join(tb.TempDir(), "step")}
	clock.writeOffset(tb, offset)
	return clock
}

// Environment returns the variable that a process with this clock is started with.
func (c WallClock) Environment() string { return "WALL_CLOCK_STEP_FILE=" + c.path }

// Step steps the clock of a running process, so that it is ahead by some time.
func (c WallClock) Step(tb testing.TB, pid int, offset time.Duration) {
	tb.Helper()
	c.writeOffset(tb, offset)
	Signal(tb, pid, syscall.SIGUSR1)
}

// writeOffset writes the step to the file that the process reads.
func (c WallClock) writeOffset(tb testing.TB, offset time.Duration) {
	tb.Helper()
	replaceFile(tb, c.path, []byte(strconv.FormatInt(int64(offset/time.Second), 10)))
}
