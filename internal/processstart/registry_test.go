package processstart

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

const (
	clockNow      = 2 * time.Hour
	processAge    = 3 * time.Second
	testSlowStart = 9 * time.Second
)

// wallNow returns the true wall time at the moment at which the node's clock shows clockNow.
func wallNow() time.Time { return time.Date(2026, 12, 2, 10, 0, 0, 0, time.UTC) }

// nowWithWallClockAhead returns the present moment on a machine whose wall clock is ahead of the true time.
func nowWithWallClockAhead(ahead time.Duration) Moment {
	return Moment{Clock: clockNow, Wall: wallNow().Add(ahead)}
}

// before returns an earlier moment.
func (m Moment) before(d time.Duration) Moment { return m.after(-d) }

// after returns a later moment.
func (m Moment) after(d time.Duration) Moment {
	return Moment{Clock: m.Clock + d, Wall: m.Wall.Add(d)}
}

// newTestRegistry returns the registry of a node that started with its wall clock ahead of the true time.
func newTestRegistry(ahead time.Duration) *Registry {
	return NewRegistry(wallNow().Add(ahead-clockNow), testSlowStart)
}

// endpointStartedAt returns an endpoint of one server whose process started at a wall time of its machine.
func endpointStartedAt(startedAt time.Time) []endpoint.Endpoint {
	return []endpoint.Endpoint{{ID: 1, State: policy.Ready, StartedAt: startedAt}}
}

// endpointsStartedAt returns the endpoints of several servers.
func endpointsStartedAt(startedAt ...time.Time) []endpoint.Endpoint {
	var list []endpoint.Endpoint
	for i, at := range startedAt {
		e := endpointStartedAt(at)[0]
		e.ID = policy.ServerID(i + 1)
		list = append(list, e)
	}
	return list
}

// The wall clocks of all machines, of the node's machine or of the server's machine are stepped after the node's
// start. A process that has just started must not count as warm, nor as started in the future.
func TestStartOfANewProcessSurvivesClockSteps(t *testing.T) {
	for _, step := range []time.Duration{0, time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second} {
		for name, c := range map[string]struct{ nodeStep, serverStep time.Duration }{
			"all machines": {step, step},
			"this machine": {step, 0},
			"the server's": {0, step},
		} {
			t.Run(fmt.Sprintf("%s by %v", name, step), func(t *testing.T) {
				checkNewProcessAfterClockStep(t, c.nodeStep, c.serverStep)
			})
		}
	}
}

// checkNewProcessAfterClockStep steps the wall clocks of the node and of a server before the server is
// restarted.
func checkNewProcessAfterClockStep(t *testing.T, nodeStep, serverStep time.Duration) {
	t.Helper()
	registry := newTestRegistry(0)
	previous := endpointStartedAt(wallNow().Add(-time.Hour))
	registry.Update(policy.UpdateSnapshot, previous, Moment{clockNow - processAge, wallNow()})
	registry.Synced(clockNow - processAge)
	list := endpointStartedAt(wallNow().Add(serverStep - processAge))

	start := registry.Update(policy.UpdateDelta, list, nowWithWallClockAhead(nodeStep))[0]

	if age := clockNow - start; age < 0 || age > processAge {
		t.Errorf("the process counts as %v old, want 0 to %v, when discovery last responded", age, processAge)
	}
	for range 2 {
		later := Moment{clockNow + time.Second, wallNow()}
		if again := registry.Update(policy.UpdateSnapshot, list, later)[0]; again != start {
			t.Errorf("the start moved from %v to %v", start, again)
		}
	}
}

// If no clock is stepped, the estimate is exact, also for a process older than the node.
func TestStartIsEstimatedByItsWallTime(t *testing.T) {
	for _, age := range []time.Duration{0, time.Millisecond, processAge, time.Minute, clockNow - time.Second} {
		registry, list := newTestRegistry(0), endpointStartedAt(wallNow().Add(-age))
		if start := registry.Update(policy.UpdateCached, list, nowWithWallClockAhead(0))[0]; start != clockNow-age {
			t.Errorf("a process %v old counts as %v old", age, clockNow-start)
		}
	}
}

// The wall clock of the node's machine is stepped before the node follows discovery. The time of day was right
// before the step or is right after it: the process counts as old as the lesser age of the two.
func TestStartAfterAClockStepIsTheLaterOfBothPossible(t *testing.T) {
	for step, want := range map[time.Duration]time.Duration{
		-30 * time.Second: clockNow - 30*time.Second,
		30 * time.Second:  clockNow - time.Minute,
	} {
		registry, list := newTestRegistry(0), endpointStartedAt(wallNow().Add(-time.Minute))
		if start := registry.Update(policy.UpdateCached, list, nowWithWallClockAhead(step))[0]; start != want {
			t.Errorf("stepped by %v: a process 1m old counts as %v old, want %v", step, clockNow-start, clockNow-want)
		}
	}
}

// A server that was restarted while the node did not follow discovery, or that only the
// configuration listed, is as old as discovery says.
func TestRestartBeforeTheFirstListKeepsItsAge(t *testing.T) {
	registry, now := newTestRegistry(0), nowWithWallClockAhead(0)
	registry.Update(policy.UpdateCached, endpointStartedAt(wallNow().Add(-time.Hour)), now)
	start := registry.Update(policy.UpdateSnapshot, endpointStartedAt(wallNow().Add(-time.Minute)), now)[0]
	if age := clockNow - start; age != time.Minute {
		t.Errorf("the process counts as %v old, want 1m", age)
	}
}

// A node that follows discovery learns of a server with a new ID: the process counts as just started, also if
// the node's wall clock was wrong from its start on.
func TestNewServerHasJustStartedWhateverTheWallClockShows(t *testing.T) {
	for _, ahead := range []time.Duration{0, time.Second, 5 * time.Second, 30 * time.Second, time.Hour, -time.Hour} {
		registry, now := newTestRegistry(ahead), nowWithWallClockAhead(ahead)
		registry.Update(policy.UpdateSnapshot, nil, Moment{clockNow - processAge, now.Wall})
		registry.Synced(clockNow - processAge)
		start := registry.Update(policy.UpdateDelta, endpointStartedAt(wallNow().Add(-time.Millisecond)), now)[0]
		if start != clockNow {
			t.Errorf("wall clock ahead by %v: the process counts as %v old, want 0", ahead, clockNow-start)
		}
	}
}

// Servers start while discovery is unavailable. Their ages are those by the servers' own clock, on which the
// newest one has just started, and at most the time since discovery last responded.
func TestServersThatStartDuringAnOutageAreCompared(t *testing.T) {
	const outage = 8 * time.Second
	want := []time.Duration{clockNow, clockNow - 5*time.Second, clockNow - outage}
	for _, ahead := range []time.Duration{0, 30 * time.Second, time.Hour} {
		registry, now := newTestRegistry(ahead), nowWithWallClockAhead(ahead)
		registry.Update(policy.UpdateSnapshot, nil, now.before(outage))
		registry.Synced(clockNow - outage)
		list := endpointsStartedAt(wallNow().Add(-time.Second), wallNow().Add(-6*time.Second), wallNow().Add(-time.Minute))

		starts := registry.Update(policy.UpdateDelta, list, now)

		if !slices.Equal(starts, want) {
			t.Errorf("wall clock ahead by %v: starts %v, want %v", ahead, starts, want)
		}
	}
}

// A node whose wall clock is ahead starts after a few servers have been restarted: their ages are those by the
// servers' own clock. If many servers have been restarted, the node's wall clock decides, right or wrong.
func TestFirstListBoundsTheAgeOfFewYoungServers(t *testing.T) {
	const ahead = time.Hour
	for _, c := range []struct {
		warmingUp, warm int
		wantAge         time.Duration // of the second youngest, a second older than the youngest
	}{{2, 8, time.Second}, {2, 6, time.Second}, {2, 5, ahead + time.Second}, {4, 0, ahead + time.Second}} {
		startedAt := []time.Time{wallNow()}
		startedAt = append(startedAt, slices.Repeat([]time.Time{wallNow().Add(-time.Second)}, c.warmingUp-1)...)
		startedAt = append(startedAt, make([]time.Time, c.warm)...) // long ago

		registry, list := newTestRegistry(ahead), endpointsStartedAt(startedAt...)
		starts := registry.Update(policy.UpdateSnapshot, list, nowWithWallClockAhead(ahead))

		if age := clockNow - starts[1]; age != c.wantAge {
			t.Errorf("%d servers warming up and %d warm: age %v, want %v", c.warmingUp, c.warm, age, c.wantAge)
		}
		if c.warm > 0 && starts[c.warmingUp] != 0 {
			t.Errorf("a server that started long ago counts as started at %v", starts[c.warmingUp])
		}
	}
}

// A server that is removed and returns as the same process keeps its start, unless it was removed for longer
// than the slow start. The registry then forgets it.
func TestStartOfAReturningProcessIsStable(t *testing.T) {
	for removedFor, want := range map[time.Duration]time.Duration{
		processAge:        clockNow - processAge,
		testSlowStart:     clockNow - processAge,
		testSlowStart + 1: clockNow + testSlowStart + 1,
	} {
		registry, now := newTestRegistry(0), nowWithWallClockAhead(0)
		list := endpointStartedAt(wallNow().Add(-processAge))
		registry.Update(policy.UpdateSnapshot, list, now)
		registry.Synced(clockNow)
		removed := slices.Clone(list)
		removed[0].State = policy.Removed
		registry.Update(policy.UpdateDelta, removed, now)
		if len(registry.listed) > 0 {
			t.Errorf("%d processes that are removed count as listed", len(registry.listed))
		}

		later := now.after(removedFor)
		registry.Synced(later.Clock)
		if again := registry.Update(policy.UpdateDelta, list, later)[0]; again != want {
			t.Errorf("removed for %v: started at %v, want %v", removedFor, again, want)
		}

		// All servers are removed, and the retention passes.
		registry.Update(policy.UpdateSnapshot, nil, later)
		registry.Update(policy.UpdateDelta, nil, Moment{later.Clock + testSlowStart + 1, now.Wall})
		if kept := len(registry.listed) + len(registry.removed); kept > 0 {
			t.Errorf("%d processes that are removed are kept", kept)
		}
	}
}
