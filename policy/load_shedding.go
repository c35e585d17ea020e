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

// shouldShed reports whether a queued request is terminated: no attempt is left, it was not sent by its
// queueing deadline, or it would be late.
func (l *loadShedder) shouldShed(now time.Duration, request *request) bool {
	return l.retry.attemptsExhausted(now, request) ||
		now >= request.queueingDeadline && !request.mayHaveBeenExecuted() ||
		l.willMissDeadline(now, request)
}

// willMissDeadline reports whether a queued request cannot be served by its deadline any more.
func (l *loadShedder) willMissDeadline(now time.Duration, request *request) bool {
	required := request.expectedLatency(l.means.relativeLatency)
	deadline := l.servingDeadline(request)
	if mustMeetObjective := deadline == request.objectiveDeadline; mustMeetObjective {
		required = time.Duration(l.regime.sheddingMargin * float64(required))
	}
	return now+required > deadline
}

// servingDeadline returns the time by which a queued request must be served: its deadline or its objective.
// An undersampled node rarely has capacity. A late response of high weight may earn more there than another
// response in time.
func (l *loadShedder) servingDeadline(request *request) time.Duration {
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
