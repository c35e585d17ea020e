package policy

// When the endpoint list is watched or polled.

import (
	"math/rand/v2"
	"time"

	"calicohinge/internal/jitter"
)

const (
	initialWatchBackoff = 500 * time.Millisecond  // before the next call for the endpoint list; doubles
	watchSpreadPerNode  = 60 * time.Millisecond   // each node's part of the time over which calls spread
	watchResponseTime   = 1500 * time.Millisecond // time left for a response before the notification deadline

	maxSpreadDivisor     = 2 // the first calls spread over half of MaxPollInterval at most
	maxBackoffDivisor    = 4 // the backoff grows to about a quarter of MaxPollInterval
	remainingTimeDivisor = 2 // a wait may take half of the time left, even if no response fits then
)

// watchSchedule says when a node calls for the endpoint list.
type watchSchedule struct {
	spread          time.Duration // over which the calls of all nodes spread
	maxPollInterval time.Duration
	backoff         time.Duration // before the next call after a failed one
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

// reset starts the backoff anew after a call has succeeded.
func (w *watchSchedule) reset() { w.backoff = initialWatchBackoff }

// start makes the first call for the endpoint list, at once or within the initial span.
func (w *watchSchedule) start(now time.Duration, host Host, cachedEndpoints int) {
	spread := w.initialSpread(cachedEndpoints)
	if spread == 0 {
		host.WatchEndpoints()
		return
	}
	host.SetTimer(now+jitter.Full(w.random, spread), timerWatch)
}

// initialSpread returns the time over which the first calls of nodes that start together spread. 0 means to
// call at once, as few nodes do, and every node without a cached list. The discovery service may serve its
// calls one after another, even abandoned ones: the calls of many nodes at once would time out, and so would
// their repetitions.
func (w *watchSchedule) initialSpread(cachedEndpoints int) time.Duration {
	spread := min(w.spread, w.maxPollInterval/maxSpreadDivisor, NotificationDeadline-watchResponseTime)
	if spread <= initialWatchBackoff || cachedEndpoints == 0 {
		return 0
	}
	return spread
}

// nextBackoff returns the delay of the next call after a failed one, and doubles the backoff. The response
// has to come in the time left until the notification deadline. The first backoff has full jitter, which
// keeps nodes apart that lost the discovery service together. Later ones are equal for all nodes.
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
