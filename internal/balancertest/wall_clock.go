package balancertest

import (
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// WallClock sets the offset of the wall clock of one process. The process must run a program that BuildInstrumented
// has built.
type WallClock struct{ path string }

// NewWallClock returns a wall clock for a process that has not started yet. The process then sees the machine's wall
// clock plus the offset. The offset is in whole seconds and may be negative.
func NewWallClock(tb testing.TB, offset time.Duration) WallClock {
	tb.Helper()
	clock := WallClock{filepath.Join(tb.TempDir(), "step")}
	clock.writeOffset(tb, offset)
	return clock
}

// Env returns the environment variable that makes a process use the wall clock, as "name=value".
func (c WallClock) Env() string { return "WALL_CLOCK_STEP_FILE=" + c.path }

// SetOffset changes the offset of the wall clock of a running process. The new offset replaces the old one.
func (c WallClock) SetOffset(tb testing.TB, pid int, offset time.Duration) {
	tb.Helper()
	c.writeOffset(tb, offset)
	Signal(tb, pid, syscall.SIGUSR1)
}

// writeOffset writes the offset, in seconds, to the file that the process reads.
func (c WallClock) writeOffset(tb testing.TB, offset time.Duration) {
	tb.Helper()
	replaceFile(tb, c.path, []byte(strconv.FormatInt(int64(offset/time.Second), 10)))
}
