package policy

// The timing of watches and polls of the endpoint list.

import (
	"math/rand/v2"
	"time"

	"calicohinge/internal/jitter"
)

const (
	initialWatchBackoff = 500 * time.Millisecond  // backoff after the first failed call; doubles each time
	watchSpreadPerNode  = 60 * time.Millisecond   // time by which each node extends the spread of the calls
	watchResponseTime   = 1500 * time.Millisecond // time for a response before the notification deadline

	maxSpreadDivisor  = 2 // the first calls of all nodes spread over at most half of MaxPollInterval
	maxBackoffDivisor = 4 // the backoff is at most a quarter of MaxPollInterval plus initialWatchBackoff

	// lateFailureDivisor determines when a failure is found late: at most half of the deadline is left, as
	// after an unresponsive watch.
	lateFailureDivisor = 2
	// A node may then shorten its delay to half of the spread, which keeps the calls of a small fleet apart,
	// or to maxHurriedDelay, which leaves time for one hurried call in a large fleet.
	hurriedSpreadDivisor = 2
	maxHurriedDelay      = watchResponseTime / 4

	// remainingTimeDivisor permits a delay of half of the time to the notification deadline, even if a
	// response may then be late.
	remainingTimeDivisor = 2
)

// watchSchedule determines when a node watches or polls the endpoint list.
type watchSchedule struct {
	spread          time.Duration // time over which the calls of all nodes spread
	maxPollInterval time.Duration
	backoff         time.Duration // delay before the next call after a failed call
	foundLate       bool          // whether the first failure since the last list was found late
	random          *rand.Rand
}

func newWatchSchedule(settings *Settings, random *rand.Rand) watchSchedule {
	return watchSchedule{
		spread:          time.Duration(settings.Nodes) * watchSpreadPerNode,
		maxPollInterval: settings.Rules.MaxPollInterval,
		backoff:         initialWatchBackoff,
		random:          random,
	}
}

// reset restores the initial backoff after a successful call.
func (w *watchSchedule) reset() { w.backoff, w.foundLate = initialWatchBackoff, false }

// start makes the first call to discovery, immediately or after a random delay within initialSpread.
func (w *watchSchedule) start(now time.Duration, host Host, cachedEndpoints int) {
	spread := w.initialSpread(cachedEndpoints)
	if spread == 0 {
		host.WatchEndpoints()
		return
	}
	host.SetTimer(now+jitter.Full(w.random, spread), timerWatch)
}

// initialSpread returns the time over which nodes that start together spread their first calls. The
// discovery service may serve calls one after another, including abandoned calls. Simultaneous calls of
// many nodes would therefore time out, and so would their retries. The result is 0, for an immediate call,
// if there is no cached list or if the spread would not exceed initialWatchBackoff, as with few nodes.
func (w *watchSchedule) initialSpread(cachedEndpoints int) time.Duration {
	spread := min(w.spread, w.maxPollInterval/maxSpreadDivisor, NotificationDeadline-watchResponseTime)
	if spread <= initialWatchBackoff || cachedEndpoints == 0 {
		return 0
	}
	return spread
}

// nextBackoff returns the delay before the next call after a failed call, and doubles the backoff. If
// possible, the delay leaves time for a response before the node counts as notified of the first change that
// it may have missed. The first delay has full jitter, so that nodes that lost the discovery service together
// do not retry together. Later delays have no jitter.
func (w *watchSchedule) nextBackoff(now time.Duration, failure WatchFailure) time.Duration {
	remaining := failure.NotifiedAt - now
	if failure.First {
		w.reset()
		w.foundLate = remaining <= NotificationDeadline/lateFailureDivisor
	}
	delay := min(max(w.backoff, w.spread), w.longestDelay(failure.CallNotifiedAt-now))
	if hurried := w.longestDelay(remaining); hurried >= w.minDelay() {
		delay = min(delay, hurried)
	}
	if w.backoff == initialWatchBackoff {
		delay = jitter.Full(w.random, delay)
	}
	w.backoff = min(2*w.backoff, w.maxPollInterval/maxBackoffDivisor+initialWatchBackoff)
	return delay
}

// longestDelay returns the longest delay after which a response may still arrive within the remaining time
// to a notification deadline.
func (w *watchSchedule) longestDelay(remaining time.Duration) time.Duration {
	return min(max(remaining-watchResponseTime, remaining/remainingTimeDivisor, 0),
		max(w.maxPollInterval, initialWatchBackoff))
}

// minDelay returns the shortest delay to which a deadline may shorten the backoff of a node. The calls of all
// nodes stay spread over time. Only after a failure that was found late is there no time for that, so that
// the nodes hurry.
func (w *watchSchedule) minDelay() time.Duration {
	if w.foundLate {
		return min(w.spread/hurriedSpreadDivisor, maxHurriedDelay)
	}
	return w.spread
}
