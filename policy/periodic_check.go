package policy

// The periodic check of all active requests, and its timer.

import (
	"math"
	"slices"
	"time"
)

const (
	checkInterval = 10 * time.Millisecond // of the periodic check; also the resolution of all deadlines
	maxTime       = time.Duration(math.MaxInt64)
)

// checkTimer is the timer of the periodic check.
type checkTimer struct {
	host Host
	due  time.Duration // maxTime if no check is scheduled
}

func newCheckTimer(host Host) checkTimer { return checkTimer{host: host, due: maxTime} }

// scheduleBy schedules the next check for the given time, unless it is due earlier.
func (c *checkTimer) scheduleBy(at time.Duration) {
	if at < c.due {
		c.due = at
		c.host.SetTimer(at, timerCheck)
	}
}

// isDue reports whether the scheduled check is due.
func (c *checkTimer) isDue(now time.Duration) bool { return now >= c.due }

// clear removes the scheduled check before it runs.
func (c *checkTimer) clear() { c.due = maxTime }

// periodicCheck sheds load and checks every active request. The next check runs no later than the earliest
// deadline, since ResponseGrace may be shorter than checkInterval.
func (b *Balancer) periodicCheck(now time.Duration) {
	b.refresh(now)
	b.shedLoad(now)
	next := now + checkInterval
	// Iterates backwards, because completing a request moves the last one, already checked, to its index.
	for _, request := range slices.Backward(b.requests.active) {
		b.checkRequest(now, request)
		if !request.completed && request.inFlight == 0 {
			next = min(next, request.deadline)
		}
	}
	b.dispatch(now)
	if len(b.requests.active) > 0 {
		b.checkTimer.scheduleBy(next)
	}
}

// checkRequest performs the actions that are due for an active request.
func (b *Balancer) checkRequest(now time.Duration, request *request) {
	switch {
	case request.streaming: // its deadline no longer applies
	case request.inFlight > 0:
		b.handleUnresponsiveAttempts(now, request)
	case now >= request.deadline:
		b.rejectOrFail(request)
	case request.isRetryDue(now):
		request.endBackoff()
		b.queue.add(request)
	}
}
