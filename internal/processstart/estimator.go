package processstart

import (
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

const (
	// minReadyPerWarmingUp limits the part of the servers that may be warming up on a node's first list. At up
	// to a quarter, the node uses the servers' clock: package policy learns the load of a warm server while
	// three quarters are warm.
	minReadyPerWarmingUp = 4
	// maxAge is longer than any process runs.
	maxAge = 100 * 365 * 24 * time.Hour
)

// estimator estimates the start of a process on the node's clock, which is monotonic. The wall clocks of the
// node's machine and of the servers' machines may be wrong from the beginning, or be stepped. A process that
// counts as older than it is could be overloaded while it warms up. Its age is therefore the least of three,
// each of which may be wrong:
//
//   - the age by the wall clock of the node's machine;
//   - the age by the servers' own clock, which their starts show, if useServerClock permits it;
//   - the time since discovery last responded, when the list did not have the process yet.
type estimator struct {
	origin            time.Time     // wall time when the node's clock showed 0
	slowStartDuration time.Duration // how long a process takes to warm up
	lastResponseAt    time.Duration // on the node's clock: when discovery last responded; 0: not yet

	serverOrigin   time.Time // the servers' wall time when the node's clock showed 0; zero: unknown
	useServerClock bool      // the estimates of the present update use the servers' clock
}

// newEstimator returns an estimator that knows nothing of the servers' clock. The wall time origin is kept
// without its monotonic reading, so that it is compared with other wall times.
func newEstimator(origin time.Time, slowStartDuration time.Duration) estimator {
	return estimator{origin: origin.Round(0), slowStartDuration: slowStartDuration}
}

// recordResponse records that discovery has just responded.
func (e *estimator) recordResponse(now time.Duration) { e.lastResponseAt = now }

// observe learns the servers' clock from the endpoints of an update, and decides whether the estimates
// for that update use it: always once discovery has responded, before that only if few servers are warming up.
func (e *estimator) observe(list []endpoint.Endpoint, now time.Duration) {
	e.learnServerClock(list, now)
	e.useServerClock = e.lastResponseAt > 0 || e.fewAreWarmingUp(list, now)
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
	if e.lastResponseAt > 0 {
		age = min(age, now.Clock-e.lastResponseAt)
	}
	return max(0, now.Clock-age)
}

// ageByWallClock returns the age of a process by the wall clock of the node's machine. That clock may have been
// stepped since the node's start, alone or with those of all machines. The age counts either from the present
// time of day or from that of the node's start. ageByWallClock returns the lesser age of the two; a negative one
// is impossible and is left out, and if both are, the age is 0.
func (e *estimator) ageByWallClock(startedAt time.Time, now Moment) time.Duration {
	byStartupClock := now.Clock - startedAt.Sub(e.origin)
	byCurrentClock := now.Wall.Round(0).Sub(startedAt)
	switch {
	case byStartupClock < 0 && byCurrentClock < 0:
		return 0
	case byStartupClock < 0:
		return byCurrentClock
	case byCurrentClock < 0:
		return byStartupClock
	}
	return min(byStartupClock, byCurrentClock)
}

// learnServerClock learns the servers' time of day from their starts: no process starts after it is listed.
// The time that it learns is too early by the age that the newest process had when it was listed, which makes
// all processes seem younger by as much. If the clock of one server's machine is ahead, the time is too late, and
// only the other two ages limit the estimates from then on.
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

// ageByServerClock returns the age of a process by the servers' own clock, as learnServerClock has learned it.
func (e *estimator) ageByServerClock(startedAt time.Time, now time.Duration) time.Duration {
	return now + min(e.serverOrigin.Sub(startedAt), maxAge)
}

// fewAreWarmingUp reports whether few servers of a node's first list are warming up by the servers' own clock. If
// many seem to be, the fleet may have been restarted together, however long ago. The node would then shed load
// for no reason, so it uses its wall clock alone, which is nearly always right.
func (e *estimator) fewAreWarmingUp(list []endpoint.Endpoint, now time.Duration) bool {
	ready, warmingUp := 0, 0
	for i := range list {
		if list[i].State != policy.Ready {
			continue
		}
		ready++
		if e.isWarmingUp(list[i].StartedAt, now) {
			warmingUp++
		}
	}
	return warmingUp*minReadyPerWarmingUp <= ready
}

// isWarmingUp reports whether a process is warming up by the servers' own clock.
func (e *estimator) isWarmingUp(startedAt time.Time, now time.Duration) bool {
	return !startedAt.IsZero() && e.ageByServerClock(startedAt, now) < e.slowStartDuration
}
