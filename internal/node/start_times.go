package node

import (
	"maps"
	"math"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

// startTimes maps the starts of server processes, which discovery gives in Unix time, onto
// the loop's clock. That clock is monotonic, while the wall clocks of this machine and of the
// servers' may be wrong from the beginning, or stepped: what they show is believed only where
// the node knows nothing better, and where a mistake could not overload a server that is
// warming up. A start keeps its place on the loop's clock for good, as another would mean a
// restart.
//
// Only the goroutine that reports endpoint updates uses it.
type startTimes struct {
	origin    time.Time     // wall time when the clock showed 0
	slowStart time.Duration // how long a process takes to warm up
	following bool          // discovery has answered
	updates   uint32        // so far
	known     map[policy.ServerID]processStart
	departed  map[policy.ServerID]departedProcess
}

// fewInOne is the part of the servers, as a divisor, that counts as few: package policy learns
// what a warm server gets while three quarters are warm.
const fewInOne = 4

// processStart is the start of the process that discovery last listed for a server.
type processStart struct {
	unixMilli float64
	at        time.Duration // on the loop's clock
	update    uint32        // the last that listed it
}

// departedProcess is a process that is not listed any more.
type departedProcess struct {
	processStart
	departedAt time.Duration // on the loop's clock
}

func newStartTimes(origin time.Time, slowStart time.Duration) *startTimes {
	return &startTimes{
		origin:    origin.Round(0),
		slowStart: slowStart,
		known:     map[policy.ServerID]processStart{},
		departed:  map[policy.ServerID]departedProcess{},
	}
}

// answered records that discovery has answered, with or without changes.
func (s *startTimes) answered() { s.following = true }

// update returns the starts of the processes of an endpoint update on the loop's clock, which
// shows now at the given wall time.
func (s *startTimes) update(
	kind policy.UpdateKind, list []endpoint.Endpoint, now time.Duration, wall time.Time,
) []time.Duration {
	s.updates++
	s.forgetDeparted(now)
	place := s.placement(list, now, wall)
	starts := make([]time.Duration, len(list))
	for i := range list {
		starts[i] = s.updateProcess(&list[i], now, place)
	}
	if kind != policy.UpdateDelta {
		s.departUnlisted(now)
	}
	return starts
}

// updateProcess returns the start of the process of one endpoint.
func (s *startTimes) updateProcess(
	e *endpoint.Endpoint, now time.Duration, place func(unixMilli float64) time.Duration,
) time.Duration {
	id := e.ServerID()
	start, known := s.known[id]
	if !known || start.unixMilli != e.StartedUnixMilli {
		start = processStart{unixMilli: e.StartedUnixMilli}
		if former, ok := s.departed[id]; ok && former.unixMilli == e.StartedUnixMilli {
			start.at = former.at
		} else {
			start.at = place(e.StartedUnixMilli)
		}
	}
	start.update = s.updates
	s.known[id] = start
	delete(s.departed, id)
	if e.State() == policy.Gone {
		s.depart(id, start, now)
	}
	return start.at
}

// placement returns where the start of a process that was not known lies on the loop's clock,
// 0 for long ago. To a node that follows discovery such a process has just started, whatever
// its start says in Unix time: the node cannot know how far the clocks are apart.
func (s *startTimes) placement(
	list []endpoint.Endpoint, now time.Duration, wall time.Time,
) func(unixMilli float64) time.Duration {
	if s.following {
		return func(unixMilli float64) time.Duration {
			if unixMilli <= 0 {
				return 0
			}
			return now
		}
	}
	newest := s.newestStart(list)
	return func(unixMilli float64) time.Duration {
		if unixMilli <= 0 {
			return 0
		}
		age := s.ageByWallClock(unixMilli, now, wall)
		if !math.IsInf(newest, 1) {
			age = min(age, milliseconds(newest-unixMilli))
		}
		return max(0, now-age)
	}
}

// ageByWallClock returns the age of a process by this machine's wall clock. If that was stepped
// since the node's start, the step may have been that of all machines or of this one alone, so
// that either the present time of day or that of the node's start tells the age. It is the
// lesser of both that are possible, 0 if none is.
func (s *startTimes) ageByWallClock(unixMilli float64, now time.Duration, wall time.Time) time.Duration {
	started := time.UnixMilli(int64(unixMilli))
	byOrigin, byPresent := now-started.Sub(s.origin), wall.Round(0).Sub(started)
	switch {
	case byOrigin < 0 && byPresent < 0:
		return 0
	case byOrigin < 0:
		return byPresent
	case byPresent < 0:
		return byOrigin
	}
	return min(byOrigin, byPresent)
}

// newestStart returns the latest start of a node's first list, in Unix time. By the servers'
// clocks no less time has passed, and nothing says that more has if this machine's clock is
// ahead. Processes that started with the newest one or shortly before count as young as that
// permits, as long as they are few: if many did, as after a restart of the fleet, the node
// would shed its load for the sake of a clock that is right nearly always. Then it is +Inf,
// and the wall clock decides alone.
func (s *startTimes) newestStart(list []endpoint.Endpoint) float64 {
	newest, ready, young := 0.0, 0, 0
	for i := range list {
		newest = max(newest, list[i].StartedUnixMilli)
	}
	for i := range list {
		if list[i].State() != policy.Ready {
			continue
		}
		ready++
		if start := list[i].StartedUnixMilli; start > 0 && milliseconds(newest-start) < s.slowStart {
			young++
		}
	}
	if young*fewInOne > ready {
		return math.Inf(1)
	}
	return newest
}

// departUnlisted moves the processes that the present update does not list to the departed ones.
func (s *startTimes) departUnlisted(now time.Duration) {
	for id, start := range s.known {
		if start.update != s.updates {
			s.depart(id, start, now)
		}
	}
}

func (s *startTimes) depart(id policy.ServerID, start processStart, now time.Duration) {
	delete(s.known, id)
	s.departed[id] = departedProcess{start, now}
}

// forgetDeparted forgets the processes that have been away for as long as a process takes to
// warm up: if one returns, it warms up again.
func (s *startTimes) forgetDeparted(now time.Duration) {
	maps.DeleteFunc(s.departed, func(_ policy.ServerID, departed departedProcess) bool {
		return now-departed.departedAt > s.slowStart
	})
}

// milliseconds converts a span of Unix time; one that is too long for a Duration is the longest.
func milliseconds(span float64) time.Duration {
	const longest = float64(math.MaxInt64 / int64(time.Millisecond))
	return time.Duration(min(max(span, -longest), longest) * float64(time.Millisecond))
}
