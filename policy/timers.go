package policy

// The timers of the Balancer: the periodic check of all active requests, and the first call for the endpoint
// list.

import (
	"math"
	"slices"
	"time"
)

const (
	checkInterval = 10 * time.Millisecond // of the periodic check; the resolution of all deadlines
	maxTime       = time.Duration(math.MaxInt64)
)

// The tokens of the timers.
const (
	timerCheck uint64 = iota // the periodic check
	timerWatch               // the next call for the endpoint list
)

// scheduleCheckBy has the periodic check run at a time or earlier.
func (b *Balancer) scheduleCheckBy(at time.Duration) {
	if at < b.nextCheckAt {
		b.nextCheckAt = at
		b.host.SetTimer(at, timerCheck)
	}
}

// periodicCheck sheds load and checks every active request. The next one runs by the earliest deadline,
// since ResponseGrace may be shorter than checkInterval.
func (b *Balancer) periodicCheck(now time.Duration) {
	b.refresh(now)
	b.shedLoad(now)
	next := now + checkInterval
	// Backwards, since completing a request moves the last one, already checked, to its index.
	for _, request := range slices.Backward(b.requests.active) {
		b.checkRequest(now, request)
		if !request.completed && request.inFlight == 0 {
			next = min(next, request.deadline)
		}
	}
	b.dispatch(now)
	if len(b.requests.active) > 0 {
		b.scheduleCheckBy(next)
	}
}

func (b *Balancer) checkRequest(now time.Duration, request *request) {
	switch {
	case request.streaming:
	case request.inFlight > 0:
		b.detectUnresponsive(now, request)
	case now >= request.deadline:
		b.terminateUnserved(request)
	case request.backoffOver(now):
		request.endBackoff()
		b.queue.add(request)
	}
}

// startWatch makes the first call for the endpoint list, at once or within the span of the watch schedule.
func (b *Balancer) startWatch(now time.Duration, cachedEndpoints int) {
	span := b.watch.initialSpan(cachedEndpoints)
	if span == 0 {
		b.host.WatchEndpoints()
		return
	}
	b.host.SetTimer(now+b.watch.drawInitialDelay(span), timerWatch)
}
