package processstart

import (
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

const (
	// minReadyPerWarmingUp is how many ready servers a node's first list must have for each server that is warming up
	// by the servers' clock. Otherwise, the estimates do not use that clock. The number is 4 because package policy
	// updates its estimate of the work sent to a warm server only while at least three quarters of its servers are
	// warm.
	minReadyPerWarmingUp = 4
	// serviceClockResolution is the resolution of the time that the discovery service sends.
	serviceClockResolution = time.Second
	// maxAge limits ages by the servers' clock, so that they cannot overflow. No process runs that long.
	maxAge = 100 * 365 * 24 * time.Hour
)

// estimator estimates the start of a process on the node's monotonic clock. The wall clocks of the node's machine
// and of the servers' machines may be wrong from the beginning or be stepped later. A process whose age is
// overestimated could be overloaded while it warms up. The estimate therefore uses the lowest of four ages, each
// of which may be wrong:
//
//   - the age by the wall clock of the node's machine;
//   - the age by the wall clock of the discovery service's machine, if the service sends its time;
//   - the age by the servers' clock, which is inferred from their start times, if useServerClock is set;
//   - the time since discovery last responded, because its list did not contain the process then.
type estimator struct {
	origin            time.Time     // wall time at which the node's clock was 0
	slowStartDuration time.Duration // how long a process takes to warm up
	lastResponseAt    time.Duration // time of discovery's last response on the node's clock; 0 if there was none

	serverOrigin   time.Time // the servers' wall time at which the node's clock was 0; the zero time if unknown
	useServerClock bool      // whether estimates for the current update use the servers' clock
}

// newEstimator returns an estimator for which the servers' clock is still unknown. It strips the monotonic reading
// from origin, so that differences from origin are differences of wall time.
func newEstimator(origin time.Time, slowStartDuration time.Duration) estimator {
	return estimator{origin: origin.Round(0), slowStartDuration: slowStartDuration}
}

// recordResponse records that discovery has just responded.
func (e *estimator) recordResponse(now time.Duration) { e.lastResponseAt = now }

// observe updates the servers' clock from the endpoints of an update and decides whether the estimates for that
// update use it: always once discovery has responded, before that only if few servers are warming up.
func (e *estimator) observe(list []endpoint.Endpoint, now time.Duration) {
	e.inferServerClock(list, now)
	e.useServerClock = e.lastResponseAt > 0 || e.fewAreWarmingUp(list, now)
}

// estimate returns the start, on the node's clock, of a process that started at the given wall time of its
// machine. 0 means long ago.
func (e *estimator) estimate(startedAt time.Time, now Moment) time.Duration {
	if startedAt.IsZero() {
		return 0
	}
	age := e.ageByWallClock(startedAt, now)
	if serviceAge, known := ageByServiceClock(startedAt, now.SentAt); known {
		age = min(age, serviceAge)
	}
	if e.useServerClock {
		age = min(age, e.ageByServerClock(startedAt, now.Clock))
	}
	if e.lastResponseAt > 0 {
		age = min(age, now.Clock-e.lastResponseAt)
	}
	return max(0, now.Clock-age)
}

// ageByWallClock returns the age of a process by the wall clock of the node's machine. That clock may have been
// stepped since the node started, alone or together with those of all machines. One age follows from the current
// wall time, another from the wall time at the node's start and the time elapsed since then on the monotonic
// clock. ageByWallClock returns the lower of the two. It ignores a negative age, which is impossible, and returns 0
// if both are negative.
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

// ageByServiceClock returns the age of a process when the discovery service sent the list, rounded down to the resolution
// of the service's clock. It returns false if that clock is unknown, or if the age is impossible because the clock is behind.
func ageByServiceClock(startedAt, sentAt time.Time) (time.Duration, bool) {
	age := sentAt.Sub(startedAt)
	if sentAt.IsZero() || age < -serviceClockResolution {
		return 0, false
	}
	return max(0, age), true
}

// inferServerClock infers the servers' wall time from their start times: no process starts after it is listed.
// The inferred time lags by the age that the newest process had when it was listed, so that all ages are too low
// by the same amount. If the clock of one server's machine is ahead, the inferred time is ahead too, and from then
// on only the other two ages limit the estimates.
func (e *estimator) inferServerClock(list []endpoint.Endpoint, now time.Duration) {
	for i := range list {
		if list[i].StartedAt.IsZero() {
			continue
		}
		if origin := list[i].StartedAt.Add(-now); origin.After(e.serverOrigin) {
			e.serverOrigin = origin
		}
	}
}

// ageByServerClock returns the age of a process by the servers' clock, which inferServerClock has inferred.
func (e *estimator) ageByServerClock(startedAt time.Time, now time.Duration) time.Duration {
	return now + min(e.serverOrigin.Sub(startedAt), maxAge)
}

// fewAreWarmingUp reports whether few servers of a node's first list are warming up by the servers' clock. That clock
// is inferred from the newest start, so servers that were all restarted at about the same time seem to be warming up
// even if the restart was long ago. The node would then shed load without need. If many servers seem to be warming up,
// the estimates therefore use the wall clock of the node's machine alone, which is nearly always right.
func (e *estimator) fewAreWarmingUp(list []endpoint.Endpoint, now time.Duration) bool {
	ready, warmingUp := 0, 0
	for i := range list {
		if list[i].State != policy.EndpointReady {
			continue
		}
		ready++
		if e.isWarmingUp(list[i].StartedAt, now) {
			warmingUp++
		}
	}
	return warmingUp*minReadyPerWarmingUp <= ready
}

// isWarmingUp reports whether a process is warming up by the servers' clock.
func (e *estimator) isWarmingUp(startedAt time.Time, now time.Duration) bool {
	return !startedAt.IsZero() && e.ageByServerClock(startedAt, now) < e.slowStartDuration
}
