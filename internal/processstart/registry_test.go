package processstart

import (
	"fmt"
	"maps"
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

// wallNow returns the true wall time when the node's clock is at clockNow.
func wallNow() time.Time { return time.Date(2026, 12, 2, 10, 0, 0, 0, time.UTC) }

// nowWithWallClockAhead returns the current moment on a machine whose wall clock is ahead of the true time.
func nowWithWallClockAhead(ahead time.Duration) Moment {
	return Moment{Clock: clockNow, Wall: wallNow().Add(ahead)}
}

// before returns the moment d earlier.
func (m Moment) before(d time.Duration) Moment { return m.after(-d) }

// after returns the moment d later.
func (m Moment) after(d time.Duration) Moment {
	return Moment{Clock: m.Clock + d, Wall: m.Wall.Add(d)}
}

// newTestRegistry returns the registry of a node whose wall clock was ahead of the true time when the node started.
func newTestRegistry(ahead time.Duration) *Registry {
	return NewRegistry(wallNow().Add(ahead-clockNow), testSlowStart)
}

// endpointStartedAt returns a list of one server whose process started at the given wall time of its machine.
func endpointStartedAt(startedAt time.Time) []endpoint.Endpoint {
	return []endpoint.Endpoint{{ID: 1, State: policy.EndpointReady, StartedAt: startedAt}}
}

// endpointsStartedAt returns a list with a server for each start time.
func endpointsStartedAt(startedAt ...time.Time) []endpoint.Endpoint {
	var list []endpoint.Endpoint
	for i, at := range startedAt {
		e := endpointStartedAt(at)[0]
		e.ID = policy.ServerID(i + 1)
		list = append(list, e)
	}
	return list
}

// After the node's start, the wall clock of its machine, of the server's machine or of both is stepped. A process
// that has just started must be considered neither warm nor started in the future.
func TestStartOfANewProcessIsRobustToClockSteps(t *testing.T) {
	for _, step := range []time.Duration{0, time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second} {
		for name, c := range map[string]struct{ nodeStep, serverStep time.Duration }{
			"both machines":    {step, step},
			"node's machine":   {step, 0},
			"server's machine": {0, step},
		} {
			t.Run(fmt.Sprintf("%s by %v", name, step), func(t *testing.T) {
				checkNewProcessAfterClockStep(t, c.nodeStep, c.serverStep)
			})
		}
	}
}

// checkNewProcessAfterClockStep steps the wall clocks of the node and of a server before the server restarts, and
// checks the estimated start of the new process.
func checkNewProcessAfterClockStep(t *testing.T, nodeStep, serverStep time.Duration) {
	t.Helper()
	registry := newTestRegistry(0)
	previous := endpointStartedAt(wallNow().Add(-time.Hour))
	registry.Update(policy.UpdateSnapshot, previous, Moment{Clock: clockNow - processAge, Wall: wallNow()})
	registry.RecordResponse(clockNow - processAge)
	list := endpointStartedAt(wallNow().Add(serverStep - processAge))

	start := registry.Update(policy.UpdateDelta, list, nowWithWallClockAhead(nodeStep))[0]

	if age := clockNow - start; age < 0 || age > processAge {
		t.Errorf("age of the new process: got %v, want 0s to %v, the time since discovery last responded",
			age, processAge)
	}
	for range 2 {
		later := Moment{Clock: clockNow + time.Second, Wall: wallNow()}
		if again := registry.Update(policy.UpdateSnapshot, list, later)[0]; again != start {
			t.Errorf("start after another update: got %v, want it unchanged at %v", again, start)
		}
	}
}

// If all wall clocks are right, the estimate is exact, even for a process that is older than the node.
func TestStartIsExactWithoutClockSteps(t *testing.T) {
	for _, age := range []time.Duration{0, time.Millisecond, processAge, time.Minute, clockNow - time.Second} {
		registry, list := newTestRegistry(0), endpointStartedAt(wallNow().Add(-age))
		if start := registry.Update(policy.UpdateCached, list, nowWithWallClockAhead(0))[0]; start != clockNow-age {
			t.Errorf("age of the process: got %v, want %v", clockNow-start, age)
		}
	}
}

// If the wall clock of the node's machine is stepped before discovery first responds, either the time before the step
// or the time after the step is right. The estimate is the lower of the two resulting ages.
func TestStartAfterAClockStepIsTheLaterOfTwoEstimates(t *testing.T) {
	for step, want := range map[time.Duration]time.Duration{
		-30 * time.Second: clockNow - 30*time.Second,
		30 * time.Second:  clockNow - time.Minute,
	} {
		registry, list := newTestRegistry(0), endpointStartedAt(wallNow().Add(-time.Minute))
		if start := registry.Update(policy.UpdateCached, list, nowWithWallClockAhead(step))[0]; start != want {
			t.Errorf("age after a step of %v: got %v, want %v", step, clockNow-start, clockNow-want)
		}
	}
}

// Until discovery first responds, the node knows a server only from the configuration. If the server has restarted, the
// new process has the age that discovery reports, and is not considered just started.
func TestRestartBeforeTheFirstListKeepsItsAge(t *testing.T) {
	registry, now := newTestRegistry(0), nowWithWallClockAhead(0)
	registry.Update(policy.UpdateCached, endpointStartedAt(wallNow().Add(-time.Hour)), now)
	start := registry.Update(policy.UpdateSnapshot, endpointStartedAt(wallNow().Add(-time.Minute)), now)[0]
	if age := clockNow - start; age != time.Minute {
		t.Errorf("age of the new process: got %v, want 1m", age)
	}
}

// A server that is added while the node follows discovery is considered just started, even if the node's wall clock has
// been wrong from the beginning.
func TestNewServerHasJustStartedRegardlessOfTheWallClock(t *testing.T) {
	for _, ahead := range []time.Duration{0, time.Second, 5 * time.Second, 30 * time.Second, time.Hour, -time.Hour} {
		registry, now := newTestRegistry(ahead), nowWithWallClockAhead(ahead)
		registry.Update(policy.UpdateSnapshot, nil, Moment{Clock: clockNow - processAge, Wall: now.Wall})
		registry.RecordResponse(clockNow - processAge)
		start := registry.Update(policy.UpdateDelta, endpointStartedAt(wallNow().Add(-time.Millisecond)), now)[0]
		if start != clockNow {
			t.Errorf("age with the wall clock ahead by %v: got %v, want 0s", ahead, clockNow-start)
		}
	}
}

// The ages of servers that start while discovery is unavailable follow from the servers' clock, by which the newest
// process has just started. The ages are at most the time since discovery last responded.
func TestServersStartedDuringAnOutageUseTheServersClock(t *testing.T) {
	const outage = 8 * time.Second
	want := []time.Duration{clockNow, clockNow - 5*time.Second, clockNow - outage}
	for _, ahead := range []time.Duration{0, 30 * time.Second, time.Hour} {
		registry, now := newTestRegistry(ahead), nowWithWallClockAhead(ahead)
		registry.Update(policy.UpdateSnapshot, nil, now.before(outage))
		registry.RecordResponse(clockNow - outage)
		list := endpointsStartedAt(wallNow().Add(-time.Second), wallNow().Add(-6*time.Second), wallNow().Add(-time.Minute))

		starts := registry.Update(policy.UpdateDelta, list, now)

		if !slices.Equal(starts, want) {
			t.Errorf("starts with the wall clock ahead by %v: got %v, want %v", ahead, starts, want)
		}
	}
}

// If a node starts after a few servers have been restarted, the ages of these servers follow from the servers' clock,
// even if the node's wall clock is ahead. If many servers have been restarted, their ages follow from the node's wall
// clock, right or wrong.
func TestFirstListUsesTheServersClockIfFewAreWarmingUp(t *testing.T) {
	const ahead = time.Hour
	for _, c := range []struct {
		warmingUp, warm int
		// Age of the second newest process, which is a second older than the newest.
		wantAge time.Duration
	}{{2, 8, time.Second}, {2, 6, time.Second}, {2, 5, ahead + time.Second}, {4, 0, ahead + time.Second}} {
		startedAt := []time.Time{wallNow()}
		startedAt = append(startedAt, slices.Repeat([]time.Time{wallNow().Add(-time.Second)}, c.warmingUp-1)...)
		startedAt = append(startedAt, make([]time.Time, c.warm)...) // the zero time means long ago

		registry, list := newTestRegistry(ahead), endpointsStartedAt(startedAt...)
		starts := registry.Update(policy.UpdateSnapshot, list, nowWithWallClockAhead(ahead))

		if age := clockNow - starts[1]; age != c.wantAge {
			t.Errorf("age with %d servers warming up and %d warm: got %v, want %v", c.warmingUp, c.warm, age, c.wantAge)
		}
		if c.warm > 0 && starts[c.warmingUp] != 0 {
			t.Errorf("start of a process that started long ago: got %v, want 0s", starts[c.warmingUp])
		}
	}
}

// Guards against a node that starts with its wall clock ahead, while more than a quarter of the servers are warming up, and
// takes them for warm: their ages follow from the time that the discovery service sends with its first list. A time from
// which an age would be negative by more than its resolution is ignored.
func TestFirstListUsesTheServicesClock(t *testing.T) {
	const ahead = 30 * time.Second
	for name, c := range map[string]struct {
		sentAt  time.Time
		wantAge time.Duration // of a process that started 3.5 s ago
	}{
		"no time":               {time.Time{}, ahead + 3500*time.Millisecond},
		"time":                  {wallNow(), 3500 * time.Millisecond},
		"time rounded down":     {wallNow().Add(-900 * time.Millisecond), 2600 * time.Millisecond},
		"time before the start": {wallNow().Add(-4 * time.Second), 0},
		"clock behind":          {wallNow().Add(-time.Hour), ahead + 3500*time.Millisecond},
		"clock further ahead":   {wallNow().Add(time.Hour), ahead + 3500*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			registry, list := newTestRegistry(ahead), endpointStartedAt(wallNow().Add(-3500*time.Millisecond))
			now := nowWithWallClockAhead(ahead)
			now.SentAt = c.sentAt
			if age := clockNow - registry.Update(policy.UpdateSnapshot, list, now)[0]; age != c.wantAge {
				t.Errorf("age of the process: got %v, want %v", age, c.wantAge)
			}
		})
	}
}

// Guards against a server of the cached list that is taken for warm because the node's wall clock is ahead: the first
// response of discovery corrects its start, once, if the server is warming up.
func TestFirstResponseCorrectsTheStartsOfTheCachedList(t *testing.T) {
	const ahead = 30 * time.Second
	startedAt := []time.Time{wallNow().Add(-3 * time.Second), wallNow().Add(-time.Minute), {}}
	for name, c := range map[string]struct {
		ahead  time.Duration
		sentAt time.Time
		want   map[policy.ServerID]time.Duration
	}{
		"clock ahead":             {ahead, wallNow(), map[policy.ServerID]time.Duration{1: clockNow - 3*time.Second}},
		"clock right":             {0, wallNow(), map[policy.ServerID]time.Duration{}},
		"clock right, rounded":    {0, wallNow().Add(-900 * time.Millisecond), map[policy.ServerID]time.Duration{}},
		"clock ahead, no time":    {ahead, time.Time{}, map[policy.ServerID]time.Duration{}},
		"clock ahead, same time":  {ahead, wallNow().Add(ahead), map[policy.ServerID]time.Duration{}},
		"clock of service behind": {ahead, wallNow().Add(-time.Hour), map[policy.ServerID]time.Duration{}},
	} {
		t.Run(name, func(t *testing.T) {
			registry, list, now := newTestRegistry(c.ahead), endpointsStartedAt(startedAt...), nowWithWallClockAhead(c.ahead)
			registry.Update(policy.UpdateCached, list, now)
			now.SentAt = c.sentAt
			if corrected := registry.CorrectCached(now); !maps.Equal(corrected, c.want) {
				t.Errorf("corrected starts: got %v, want %v", corrected, c.want)
			}
			now.SentAt = wallNow()
			if again := registry.CorrectCached(now); len(again) > 0 {
				t.Errorf("starts corrected by a second response: got %v, want none", again)
			}
			for id, want := range c.want {
				if start := registry.Update(policy.UpdateDelta, list, now)[id-1]; start != want {
					t.Errorf("start of server %d after the correction: got %v, want %v", id, start, want)
				}
			}
		})
	}
}

// A server that is removed and returns with the same process keeps its start, unless it was removed for longer than the
// slow start duration, after which the registry discards the start.
func TestStartOfAReturningProcessIsStable(t *testing.T) {
	for removedFor, want := range map[time.Duration]time.Duration{
		processAge:        clockNow - processAge,
		testSlowStart:     clockNow - processAge,
		testSlowStart + 1: clockNow + testSlowStart + 1,
	} {
		registry, now := newTestRegistry(0), nowWithWallClockAhead(0)
		list := endpointStartedAt(wallNow().Add(-processAge))
		registry.Update(policy.UpdateSnapshot, list, now)
		registry.RecordResponse(clockNow)
		removed := slices.Clone(list)
		removed[0].State = policy.EndpointRemoved
		registry.Update(policy.UpdateDelta, removed, now)
		if len(registry.listed) > 0 {
			t.Errorf("listed processes after the removal: got %d, want 0", len(registry.listed))
		}

		later := now.after(removedFor)
		registry.RecordResponse(later.Clock)
		if again := registry.Update(policy.UpdateDelta, list, later)[0]; again != want {
			t.Errorf("start after a removal for %v: got %v, want %v", removedFor, again, want)
		}

		// Once all servers are removed and the slow start duration has passed, no process is kept.
		registry.Update(policy.UpdateSnapshot, nil, later)
		registry.Update(policy.UpdateDelta, nil, Moment{Clock: later.Clock + testSlowStart + 1, Wall: now.Wall})
		if kept := len(registry.listed) + len(registry.removed); kept > 0 {
			t.Errorf("processes kept after the slow start duration: got %d, want 0", kept)
		}
	}
}
