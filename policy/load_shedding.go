package policy

// Load shedding: queued requests that cannot be served in time are terminated.

import "time"

// retryAfterDivisor makes Retry-After one half of the class's objective.
const retryAfterDivisor = 2

// loadShedder says which queued requests are terminated because they cannot be served in time.
type loadShedder struct {
	retry    *retryPolicy
	arrivals *arrivalStats
	regime   *samplingRegime
	means    *outcomeMeans
}

// mustShed also returns a request that was not sent by its queueing deadline: its client can retry elsewhere.
func (l *loadShedder) mustShed(now time.Duration, request *request) bool {
	return l.retry.attemptsExhausted(request, now) ||
		now >= request.queueingDeadline && !request.mayHaveBeenExecuted() ||
		l.isLate(now, request)
}

// isLate reports whether a queued request cannot be served by its deadline any more.
func (l *loadShedder) isLate(now time.Duration, request *request) bool {
	required := request.expectedLatency(l.means.relativeLatency)
	deadline := l.deadline(request)
	if deadline == request.objectiveDeadline {
		required = time.Duration(l.regime.sheddingMargin * float64(required))
	}
	return now+required > deadline
}

// deadline returns the time by which a queued request must be served. On an undersampled node, which has
// capacity rarely, a late response of high weight may still earn more than another in time.
func (l *loadShedder) deadline(request *request) time.Duration {
	lateWeight := request.weight * request.class.LateFraction
	if l.regime.queuesPastObjective && lateWeight >= l.arrivals.meanWeight(request.class) {
		return request.deadline
	}
	return request.objectiveDeadline
}

// retryAfter returns how long the client of a rejected request has to wait, within the operators' limit.
func retryAfter(class *requestClass, limits *Limits) time.Duration {
	return min(class.Objective/retryAfterDivisor, limits.MaxRetryAfter)
}
