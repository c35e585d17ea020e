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
	return newStartTimes(wall.Add(-clockNow), testSlowStart), wall
}

// process is an endpoint of a server s-0 whose process started at a wall time.
func process(started time.Time) []endpoint.Endpoint {
	return []endpoint.Endpoint{{ID: 1, State: policy.Ready, StartedAt: started}}
}

const (
	clockNow      = 2 * time.Hour
	processAge    = 3 * time.Second
	testSlowStart = 9 * time.Second
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
	if age := clockNow - at; age < 0 || age > processAge {
		t.Errorf("the process counts as %v old, want 0 to %v, when discovery last answered", age, processAge)
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

// A server with an ID that is new to a node that follows discovery has just started, also if the node's
// wall clock was wrong from its start on.
func TestNewServerHasJustStartedWhateverTheWallClockShows(t *testing.T) {
	for _, ahead := range []time.Duration{0, time.Second, 5 * time.Second, 30 * time.Second, time.Hour, -time.Hour} {
		starts, wall := newTestStartTimes()
		starts.origin = starts.origin.Add(ahead)
		starts.update(policy.UpdateSnapshot, nil, clockNow-processAge, wall.Add(ahead))
		starts.answered(clockNow - processAge)
		at := starts.update(policy.UpdateDelta, process(wall.Add(-time.Millisecond)), clockNow, wall.Add(ahead))[0]
		if at != clockNow {
			t.Errorf("wall clock ahead by %v: the process counts as %v old, want 0", ahead, clockNow-at)
		}
	}
}

// Discovery is away while servers start: they count as old as the servers' own clock shows, but for the
// newest one, and as the time since discovery last answered.
func TestServersThatStartDuringAnOutageAreCompared(t *testing.T) {
	const outage = 8 * time.Second
	for _, ahead := range []time.Duration{0, 30 * time.Second, time.Hour} {
		starts, wall := newTestStartTimes()
		starts.origin = starts.origin.Add(ahead)
		starts.update(policy.UpdateSnapshot, nil, clockNow-outage, wall.Add(ahead-outage))
		starts.answered(clockNow - outage)
		var list []endpoint.Endpoint
		for i, age := range []time.Duration{time.Second, 6 * time.Second, time.Minute} {
			e := process(wall.Add(-age))[0]
			e.ID = policy.ServerID(i + 1)
			list = append(list, e)
		}
		ats := starts.update(policy.UpdateDelta, list, clockNow, wall.Add(ahead))
		for i, want := range []time.Duration{0, 5 * time.Second, outage} {
			if age := clockNow - ats[i]; age != want {
				t.Errorf("clock ahead by %v: server %d counts as %v old, want %v", ahead, i, age, want)
			}
		}
	}
}

// A node whose wall clock is ahead starts among servers of which a few have just been restarted: they count
// as young as the list permits. If many were, the wall clock decides, right or wrong.
func TestFirstListBoundsTheAgeOfFewYoungServers(t *testing.T) {
	const ahead = time.Hour
	for _, c := range []struct {
		young, old int
		wantAge    time.Duration // of the second youngest, a second older than the youngest
	}{{2, 8, time.Second}, {2, 6, time.Second}, {2, 5, ahead + time.Second}, {4, 0, ahead + time.Second}} {
		starts, wall := newTestStartTimes()
		starts.origin = starts.origin.Add(ahead)
		var list []endpoint.Endpoint
		for i := range c.young + c.old {
			started := wall
			if i > 0 {
				started = wall.Add(-time.Second)
			}
			e := process(started)[0]
			e.ID = policy.ServerID(i + 1)
			if i >= c.young {
				e.StartedAt = time.Time{}
			}
			list = append(list, e)
		}
		ats := starts.update(policy.UpdateSnapshot, list, clockNow, wall.Add(ahead))
		if age := clockNow - ats[1]; age != c.wantAge {
			t.Errorf("%d young and %d old servers: age %v, want %v", c.young, c.old, age, c.wantAge)
		}
		if c.old > 0 && ats[c.young] != 0 {
			t.Errorf("a server that started long ago counts as started at %v", ats[c.young])
		}
	}
}

// A server that leaves and returns as the same process keeps its start, unless it was away for long. What is
// kept of servers that left does not grow for good.
func TestStartOfAReturningProcessIsStable(t *testing.T) {
	for away, want := range map[time.Duration]time.Duration{
		processAge: clockNow - processAge, testSlowStart: clockNow - processAge,
		testSlowStart + 1: clockNow + testSlowStart + 1,
	} {
		starts, wall := newTestStartTimes()
		list := process(wall.Add(-processAge))
		starts.update(policy.UpdateSnapshot, list, clockNow, wall)
		starts.answered(clockNow)
		gone := process(wall.Add(-processAge))
		gone[0].State = policy.Removed
		starts.update(policy.UpdateDelta, gone, clockNow, wall)
		if len(starts.known) > 0 {
			t.Errorf("%d processes that are gone are known", len(starts.known))
		}
		starts.answered(clockNow + away)
		if again := starts.update(policy.UpdateDelta, list, clockNow+away, wall.Add(away))[0]; again != want {
			t.Errorf("away for %v: started at %v, want %v", away, again, want)
		}
		starts.update(policy.UpdateSnapshot, nil, clockNow+away, wall.Add(away))
		starts.update(policy.UpdateDelta, nil, clockNow+away+testSlowStart+1, wall)
		if kept := len(starts.known) + len(starts.departed); kept > 0 {
			t.Errorf("%d processes that are gone are kept", kept)
		}
	}
}
