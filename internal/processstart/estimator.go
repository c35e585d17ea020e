package processstart

import (
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

const (
	// youngDivisor gives the part of the servers, a quarter, of which at most may be warming up on a
	// node's first list for it to rely on the servers' clock: package policy learns what a warm server
	// gets while three quarters are warm.
	youngDivisor = 4
	// maxAge is longer than any process runs.
	maxAge = 100 * 365 * 24 * time.Hour
)

// estimator estimates when a process started on the node's clock, which is monotonic. The wall clocks of the
// node's machine and of the servers' may be wrong from the beginning, or stepped. A process that counts as
// older than it is could be overloaded while it warms up, so its age is the least of what three clocks
// say, each of which may be wrong:
//
//   - the wall clock of the node's machine;
//   - the servers' own clock, as far as their starts show it, where it can be relied on;
//   - the time since discovery last responded without the process.
type estimator struct {
	origin    time.Time     // wall time when the node's clock showed 0
	slowStart time.Duration // how long a process takes to warm up
	syncedAt  time.Duration // on the node's clock: when discovery last responded; 0: not yet

	serverOrigin   time.Time // the servers' wall time when the node's clock showed 0; zero: unknown
	useServerClock bool      // the ages by the servers' clock can be compared with the others
}

func newEstimator(origin time.Time, slowStart time.Duration) estimator {
	return estimator{origin: origin.Round(0), slowStart: slowStart}
}

// synced records that discovery has just responded.
func (e *estimator) synced(now time.Duration) { e.syncedAt = now }

// observe learns the servers' clock from the endpoints of an update, and decides whether the estimates
// for that update use it.
func (e *estimator) observe(list []endpoint.Endpoint, now time.Duration) {
	e.learnServerClock(list, now)
	e.useServerClock = e.syncedAt > 0 || e.fewAreYoung(list, now)
}

// estimate returns the start on the node's clock of a process that started at the given wall time of its
// machine, 0 for long ago.
func (e *estimator) estimate(startedAt time.Time, now Moment) time.Duration {
	if startedAt.IsZero() {
		return 0
	}
	age := e.ageByWallClock(startedAt, now)
	if e.useServerClock {
		age = min(age, e.ageByServerClock(startedAt, now.Clock))
	}
	if e.syncedAt > 0 {
		age = min(age, now.Clock-e.syncedAt)
	}
	return max(0, now.Clock-age)
}

// ageByWallClock returns the age of a process by the wall clock of the node's machine. If that was stepped
// since the node's start, the step may have been that of all machines or of this one alone, so
// that either the present time of day or that of the node's start tells the age. It is the
// lesser of both that are possible, 0 if none is.
func (e *estimator) ageByWallClock(startedAt time.Time, now Moment) time.Duration {
	byOrigin := now.Clock - startedAt.Sub(e.origin)
	byPresent := now.Wall.Round(0).Sub(startedAt)
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
// it is late, and only the other limits of estimate hold from then on.
func (e *estimator) learnServerClock(list []endpoint.Endpoint, now time.Duration) {
	for i := range list {
		if list[i].StartedAt.IsZero() {
			continue
		}
		if origin := list[i].StartedAt.Add(-now); origin.After(e.serverOrigin) {
			e.serverOrigin = origin
		}
	}
}

// ageByServerClock returns the age of a process by what is known of the servers' own clock.
func (e *estimator) ageByServerClock(startedAt time.Time, now time.Duration) time.Duration {
	return now + min(e.serverOrigin.Sub(startedAt), maxAge)
}

// fewAreYoung reports whether few servers of a node's first list are warming up by the servers'
// own clock. If many are, as after a restart of the fleet at any time in the past, the node
// would shed its load for the sake of a wall clock that is right nearly always, and relies on it.
func (e *estimator) fewAreYoung(list []endpoint.Endpoint, now time.Duration) bool {
	ready, young := 0, 0
	for i := range list {
		if list[i].State != policy.Ready {
			continue
		}
		ready++
		if e.isYoung(list[i].StartedAt, now) {
			young++
		}
	}
	return young*youngDivisor <= ready
}

// isYoung reports whether a process is warming up by the servers' own clock.
func (e *estimator) isYoung(startedAt time.Time, now time.Duration) bool {
	return !startedAt.IsZero() && e.ageByServerClock(startedAt, now) < e.slowStart
}
