package node

import (
	"fmt"
	"testing"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

// newTestStartTimes returns the start times of a node whose clock shows clockNow, and the
// wall time of that moment.
func newTestStartTimes() (starts *startTimes, wall time.Time) {
	wall = time.Date(2026, 12, 2, 10, 0, 0, 0, time.UTC)
	return newStartTimes(wall.Add(-clockNow)), wall
}

// process is an endpoint of a server s-0 whose process started at a wall time.
func process(started time.Time) []endpoint.Endpoint {
	return []endpoint.Endpoint{{InstanceID: "s-0", Lifecycle: "Ready", StartedUnixMilli: float64(started.UnixMilli())}}
}

const (
	clockNow   = 2 * time.Hour
	processAge = 3 * time.Second
)

// A wall clock is stepped after the node's start, that of all machines, of this one or of the
// server's. A process that has just started has to count as one, not as warm, and not as one
// that starts in the future.
func TestStartOfANewProcessSurvivesClockSteps(t *testing.T) {
	for _, step := range []time.Duration{0, time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second} {
		for name, c := range map[string]struct{ own, server time.Duration }{
			"all machines": {step, step},
			"this machine": {step, 0},
			"the server's": {0, step},
		} {
			t.Run(fmt.Sprintf("%s by %v", name, step), func(t *testing.T) {
				testStartOfANewProcess(t, c.own, c.server)
			})
		}
	}
}

// testStartOfANewProcess steps the wall clocks of the node and of a server before the server is
// restarted.
func testStartOfANewProcess(t *testing.T, ownStep, serverStep time.Duration) {
	t.Helper()
	starts, wall := newTestStartTimes()
	starts.update(policy.UpdateSnapshot, process(wall.Add(-time.Hour)), clockNow-processAge, wall)
	starts.answered(clockNow - processAge)
	list := process(wall.Add(serverStep - processAge))
	at := starts.update(policy.UpdateDelta, list, clockNow, wall.Add(ownStep))[0]
	latestAge := processAge + policy.NotificationDeadline
	if age := clockNow - at; age < 0 || age > latestAge {
		t.Errorf("the process counts as %v old, want 0 to %v", age, latestAge)
	}
	for range 2 {
		if again := starts.update(policy.UpdateSnapshot, list, clockNow+time.Second, wall)[0]; again != at {
			t.Errorf("the start moved from %v to %v", at, again)
		}
	}
}

// Without steps a start is placed where it was, also that of a process older than the node.
func TestStartIsPlacedByItsWallTime(t *testing.T) {
	for _, age := range []time.Duration{0, time.Millisecond, processAge, time.Minute, clockNow - time.Second} {
		starts, wall := newTestStartTimes()
		if at := starts.update(policy.UpdateCached, process(wall.Add(-age)), clockNow, wall)[0]; at != clockNow-age {
			t.Errorf("a process %v old counts as %v old", age, clockNow-at)
		}
	}
}

// A server that was restarted while the node did not follow discovery, or of which only the
// configuration told, is as old as discovery says.
func TestRestartBeforeTheFirstListKeepsItsAge(t *testing.T) {
	starts, wall := newTestStartTimes()
	starts.update(policy.UpdateCached, process(wall.Add(-time.Hour)), clockNow, wall)
	at := starts.update(policy.UpdateSnapshot, process(wall.Add(-time.Minute)), clockNow, wall)[0]
	if age := clockNow - at; age != time.Minute {
		t.Errorf("the process counts as %v old, want 1m", age)
	}
}

// A server that leaves and returns as the same process keeps its start.
func TestStartOfAReturningProcessIsStable(t *testing.T) {
	starts, wall := newTestStartTimes()
	list := process(wall.Add(-processAge))
	first := starts.update(policy.UpdateSnapshot, list, clockNow, wall)[0]
	gone := process(wall.Add(-processAge))
	gone[0].Lifecycle = "Gone"
	starts.update(policy.UpdateDelta, gone, clockNow+time.Second, wall.Add(time.Second))
	if len(starts.known) > 0 {
		t.Errorf("%d processes that are gone are kept", len(starts.known))
	}
	again := starts.update(policy.UpdateDelta, list, clockNow+processAge, wall.Add(processAge))[0]
	if again != first {
		t.Errorf("the start moved from %v to %v", first, again)
	}
}
