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
func NewWallClock(tb testing.TB, ahead time.Duration) WallClock {
	tb.Helper()
	clock := WallClock{filepath.Join(tb.TempDir(), "step")}
	clock.set(tb, ahead)
	return clock
}

// Environment returns the variable that a process with this clock is started with.
func (c WallClock) Environment() string { return "WALL_CLOCK_STEP_FILE=" + c.path }

// Step steps the clock of a running process, so that it is ahead by some time.
func (c WallClock) Step(tb testing.TB, pid int, ahead time.Duration) {
	tb.Helper()
	c.set(tb, ahead)
	Signal(tb, pid, syscall.SIGUSR1)
}

// set writes the step to the file that the process reads.
func (c WallClock) set(tb testing.TB, ahead time.Duration) {
	tb.Helper()
	replaceFile(tb, c.path, []byte(strconv.FormatInt(int64(ahead/time.Second), 10)))
}
