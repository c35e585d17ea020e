package policy

// The periodic check of all active requests, and its timer.

import (
	"math"
	"slices"
	"time"
)

const (
	checkInterval = 10 * time.Millisecond        // time between periodic checks; resolution of all deadlines
	maxTime       = time.Duration(math.MaxInt64) // later than the time of any event
)

// checkTimer is the timer of the periodic check.
type checkTimer struct {
	host Host
	due  time.Duration // time of the scheduled check; maxTime if there is none
}

func newCheckTimer(host Host) checkTimer { return checkTimer{host: host, due: maxTime} }

// scheduleBy schedules the next check for the given time, unless a check is scheduled for an earlier time.
func (c *checkTimer) scheduleBy(at time.Duration) {
	if at < c.due {
		c.due = at
		c.host.SetTimer(at, timerCheck)
	}
}

// isDue reports whether the scheduled check is due.
func (c *checkTimer) isDue(now time.Duration) bool { return now >= c.due }

// clear removes the scheduled check, which is about to run.
func (c *checkTimer) clear() { c.due = maxTime }

// periodicCheck sheds load, checks every active request and schedules the next check. The next check runs
// after checkInterval, or earlier if a request without an attempt in flight has an earlier deadline: a
// check up to checkInterval after that deadline could be too late, because ResponseGrace may be shorter.
func (b *Balancer) periodicCheck(now time.Duration) {
	b.refresh(now)
	b.shedLoad(now)
	next := now + checkInterval
	// When a request completes, the last active request moves to its index. Iterating backwards, that
	// request has already been checked.
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
	case request.streaming: // the deadline no longer applies
	case request.inFlight > 0:
		b.handleUnresponsiveAttempts(now, request)
	case now >= request.deadline:
		b.rejectOrFail(request)
	case request.isRetryDue(now):
		request.endBackoff()
		b.queue.add(request)
	}
}
