package node

import (
	"maps"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

// startTimes maps the starts of server processes, which discovery gives in Unix time, onto
// the loop's clock. That clock is monotonic, while the wall clocks of this machine and of the
// servers' may be stepped: the present time of day cannot simply be compared with a start. A
// start keeps its place on the loop's clock for good, as another would mean a restart.
//
// Only the goroutine that reports endpoint updates uses it.
type startTimes struct {
	origin     time.Time     // wall time when the clock showed 0
	followedAt time.Duration // on the clock: when discovery last answered; 0: not yet
	updates    uint32        // so far
	known      map[policy.ServerID]processStart
}

// processStart is the start of the process that discovery last listed for a server.
type processStart struct {
	unixMilli float64
	at        time.Duration // on the loop's clock
	update    uint32        // the last that listed it
	followed  bool          // discovery listed it; else it is from the configuration
}

func newStartTimes(origin time.Time) *startTimes {
	return &startTimes{origin: origin.Round(0), known: map[policy.ServerID]processStart{}}
}

// update returns the starts of the processes of an endpoint update on the loop's clock, which
// shows now at the given wall time.
func (s *startTimes) update(
	kind policy.UpdateKind, list []endpoint.Endpoint, now time.Duration, wall time.Time,
) []time.Duration {
	s.updates++
	starts := make([]time.Duration, len(list))
	for i := range list {
		starts[i] = s.updateProcess(kind, &list[i], now, wall)
	}
	if kind != policy.UpdateDelta {
		maps.DeleteFunc(s.known, func(_ policy.ServerID, start processStart) bool {
			return start.update != s.updates
		})
	}
	return starts
}

// updateProcess returns the start of the process of one endpoint.
func (s *startTimes) updateProcess(
	kind policy.UpdateKind, e *endpoint.Endpoint, now time.Duration, wall time.Time,
) time.Duration {
	id := e.ServerID()
	start, known := s.known[id]
	if !known || start.unixMilli != e.StartedUnixMilli {
		at := s.place(e.StartedUnixMilli, now, wall)
		if known && start.followed {
			at = max(at, s.earliestRestart())
		}
		start = processStart{unixMilli: e.StartedUnixMilli, at: at}
	}
	start.followed = kind != policy.UpdateCached
	start.update = s.updates
	if e.State() == policy.Gone {
		delete(s.known, id)
	} else {
		s.known[id] = start
	}
	return start.at
}

// answered records that discovery has answered, with or without changes.
func (s *startTimes) answered(now time.Duration) { s.followedAt = now }

// place returns where a start in Unix time lies on the loop's clock, 0 for long ago. If the
// wall clock was stepped since the node's start, the step may have been that of all machines
// or of this one alone, so that either the present time of day or that of the node's start
// tells the age of the process. It takes the later of both starts that are possible: a process
// that is taken for a warm one could be overloaded.
func (s *startTimes) place(unixMilli float64, now time.Duration, wall time.Time) time.Duration {
	if unixMilli <= 0 {
		return 0
	}
	started := time.UnixMilli(int64(unixMilli))
	byOrigin := started.Sub(s.origin)
	byPresent := now - wall.Round(0).Sub(started)
	switch {
	case byOrigin > now && byPresent > now:
		return now
	case byOrigin > now:
		return max(0, byPresent)
	case byPresent > now:
		return max(0, byOrigin)
	}
	return max(0, byOrigin, byPresent)
}

// earliestRestart returns when a process may have been replaced at the earliest of which
// discovery listed the former one until now, whatever the clock of its machine shows.
func (s *startTimes) earliestRestart() time.Duration {
	return max(0, s.followedAt-policy.NotificationDeadline)
}
