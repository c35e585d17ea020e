package policy

// Load shedding: queued requests that cannot be served in time are rejected or failed.

import "time"

// retryAfterDivisor sets Retry-After to half of the class's objective.
const retryAfterDivisor = 2

// loadShedder selects the queued requests to shed because they cannot be served in time.
type loadShedder struct {
	retry    *retryPolicy
	arrivals *arrivalStats
	regime   *samplingRegime
	means    *outcomeMeans
}

// shouldShed reports whether to shed a queued request: if no further attempt is permitted, if its queueing
// deadline has passed and none of its attempts can have been executed, or if its response would be late.
func (l *loadShedder) shouldShed(now time.Duration, request *request) bool {
	return l.retry.attemptsExhausted(now, request) ||
		now >= request.queueingDeadline && !request.mayHaveBeenExecuted() ||
		l.willMissDeadline(now, request)
}

// willMissDeadline reports whether a queued request can no longer be served by its serving deadline.
func (l *loadShedder) willMissDeadline(now time.Duration, request *request) bool {
	required := request.expectedLatency(l.means.relativeLatency)
	deadline := l.servingDeadline(request)
	if mustMeetObjective := deadline == request.objectiveDeadline; mustMeetObjective {
		required = time.Duration(l.regime.sheddingMargin * float64(required))
	}
	return now+required > deadline
}

// servingDeadline returns the time by which a queued request must be served: its deadline or its objective
// deadline. On an undersampled node, which rarely has capacity, a late response of high weight may count
// more than another response within its objective.
func (l *loadShedder) servingDeadline(request *request) time.Duration {
	lateWeight := request.weight * request.class.LateFraction
	if l.regime.queuesPastObjective && lateWeight >= l.arrivals.meanWeight(request.class) {
		return request.deadline
	}
	return request.objectiveDeadline
}

// retryAfter returns how long the client of a rejected request has to wait, at most Limits.MaxRetryAfter.
func retryAfter(class *requestClass, limits *Limits) time.Duration {
	return min(class.Objective/retryAfterDivisor, limits.MaxRetryAfter)
}
