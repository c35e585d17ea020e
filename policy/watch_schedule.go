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

	// remainingTimeDivisor permits a delay of half of the time to the notification deadline, even if a
	// response may then be late.
	remainingTimeDivisor = 2
)

// watchSchedule determines when a node watches or polls the endpoint list.
type watchSchedule struct {
	spread          time.Duration // time over which the calls of all nodes spread
	maxPollInterval time.Duration
	backoff         time.Duration // delay before the next call after a failed call
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
func (w *watchSchedule) reset() { w.backoff = initialWatchBackoff }

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

// nextBackoff returns the delay before the next call after a failed call, and doubles the backoff. The
// remaining time is the time to the notification deadline. If possible, the delay leaves time for a
// response before that deadline. The first delay has full jitter, so that nodes that lost the discovery
// service together do not retry together. Later delays have no jitter.
func (w *watchSchedule) nextBackoff(remainingTime time.Duration) time.Duration {
	longest := min(max(remainingTime-watchResponseTime, remainingTime/remainingTimeDivisor, 0),
		max(w.maxPollInterval, initialWatchBackoff))
	delay := min(max(w.backoff, w.spread), longest)
	if w.backoff == initialWatchBackoff {
		delay = jitter.Full(w.random, delay)
	}
	w.backoff = min(2*w.backoff, w.maxPollInterval/maxBackoffDivisor+initialWatchBackoff)
	return delay
}
