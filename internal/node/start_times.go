package node

import (
	"maps"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

// startTimes maps the starts of server processes, which discovery gives in Unix time, onto
// the loop's clock. That clock is monotonic, while the wall clocks of this machine and of the
// servers' may be wrong from the beginning, or stepped. A process that counts as older than it
// is could be overloaded while it warms up, so that its age is the least of what several
// clocks say of it, each of which may be wrong. A start keeps its place on the loop's clock
// for good, as another would mean a restart.
//
// Only the goroutine that reports endpoint updates uses it.
type startTimes struct {
	origin       time.Time     // wall time when the clock showed 0
	slowStart    time.Duration // how long a process takes to warm up
	answeredAt   time.Duration // on the clock: when discovery last answered; 0: not yet
	serverOrigin time.Time     // the servers' wall time when the clock showed 0, by learnServerClock; zero: unknown
	updates      uint32        // so far
	known        map[policy.ServerID]processStart
	departed     map[policy.ServerID]departedProcess
}

// fewInOne is the part of the servers, as a divisor, that counts as few: package policy learns
// what a warm server gets while three quarters are warm.
const fewInOne = 4

// longestSpan is longer than any process lives.
const longestSpan = 100 * 365 * 24 * time.Hour

// processStart is the start of the process that discovery last listed for a server.
type processStart struct {
	startedAt time.Time     // by the wall clock of its machine
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
func (s *startTimes) answered(now time.Duration) { s.answeredAt = now }

// update returns the starts of the processes of an endpoint update on the loop's clock, which
// shows now at the given wall time.
func (s *startTimes) update(
	kind policy.UpdateKind, list []endpoint.Endpoint, now time.Duration, wall time.Time,
) []time.Duration {
	s.updates++
	s.forgetDeparted(now)
	s.learnServerClock(list, now)
	comparable := s.answeredAt > 0 || s.fewAreYoung(list, now)
	starts := make([]time.Duration, len(list))
	for i := range list {
		starts[i] = s.updateProcess(&list[i], func(startedAt time.Time) time.Duration {
			return s.place(startedAt, now, wall, comparable)
		}, now)
	}
	if kind != policy.UpdateDelta {
		s.departUnlisted(now)
	}
	return starts
}

// updateProcess returns the start of the process of one endpoint.
func (s *startTimes) updateProcess(
	e *endpoint.Endpoint, place func(startedAt time.Time) time.Duration, now time.Duration,
) time.Duration {
	id := e.ID
	start, known := s.known[id]
	if !known || !start.startedAt.Equal(e.StartedAt) {
		start = processStart{startedAt: e.StartedAt}
		if former, ok := s.departed[id]; ok && former.startedAt.Equal(e.StartedAt) {
			start.at = former.at
		} else {
			start.at = place(e.StartedAt)
		}
	}
	start.update = s.updates
	s.known[id] = start
	delete(s.departed, id)
	if e.State == policy.Removed {
		s.depart(id, start, now)
	}
	return start.at
}

// place returns where the start of a process that was not known lies on the loop's clock, 0
// for long ago. Its age is the least that is possible by this machine's wall clock, by the
// servers' clock if that is comparable, and by when discovery last answered without it.
func (s *startTimes) place(startedAt time.Time, now time.Duration, wall time.Time, comparable bool) time.Duration {
	if startedAt.IsZero() {
		return 0
	}
	age := s.ageByWallClock(startedAt, now, wall)
	if comparable {
		age = min(age, s.ageByServerClock(startedAt, now))
	}
	if s.answeredAt > 0 {
		age = min(age, now-s.answeredAt)
	}
	return max(0, now-age)
}

// ageByWallClock returns the age of a process by this machine's wall clock. If that was stepped
// since the node's start, the step may have been that of all machines or of this one alone, so
// that either the present time of day or that of the node's start tells the age. It is the
// lesser of both that are possible, 0 if none is.
func (s *startTimes) ageByWallClock(startedAt time.Time, now time.Duration, wall time.Time) time.Duration {
	byOrigin, byPresent := now-startedAt.Sub(s.origin), wall.Round(0).Sub(startedAt)
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

// learnServerClock learns the servers' time of day from their starts: no process starts after
// it is listed. What it learns is early by the age of the newest process as that was listed,
// so that other processes seem younger by that. If the clock of one server's machine is ahead,
// it is late, and only the other bounds of place hold from then on.
func (s *startTimes) learnServerClock(list []endpoint.Endpoint, now time.Duration) {
	for i := range list {
		if list[i].StartedAt.IsZero() {
			continue
		}
		if origin := list[i].StartedAt.Add(-now); origin.After(s.serverOrigin) {
			s.serverOrigin = origin
		}
	}
}

// ageByServerClock returns the age of a process by what is known of the servers' own clock.
func (s *startTimes) ageByServerClock(startedAt time.Time, now time.Duration) time.Duration {
	return now + min(s.serverOrigin.Sub(startedAt), longestSpan)
}

// fewAreYoung reports whether few servers of a node's first list are warming up by the servers'
// own clock. If many are, as after a restart of the fleet at any time in the past, the node
// would shed its load for the sake of a wall clock that is right nearly always, and believes it.
func (s *startTimes) fewAreYoung(list []endpoint.Endpoint, now time.Duration) bool {
	ready, young := 0, 0
	for i := range list {
		if list[i].State != policy.Ready {
			continue
		}
		ready++
		if start := list[i].StartedAt; !start.IsZero() && s.ageByServerClock(start, now) < s.slowStart {
			young++
		}
	}
	return young*fewInOne <= ready
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
