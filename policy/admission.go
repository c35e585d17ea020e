package policy

// Admission: the queue of requests that wait for capacity, and the rules of load shedding.

import (
	"slices"
	"sort"
	"time"
)

// retryAfterDivisor makes Retry-After one half of the class's objective.
const retryAfterDivisor = 2

// admissionQueue holds the requests that wait for capacity, which are marked as queued, sorted by precedes.
type admissionQueue struct{ waiting []*request }

func (q *admissionQueue) add(request *request) {
	index := sort.Search(len(q.waiting), func(i int) bool { return request.precedes(q.waiting[i]) })
	q.waiting = slices.Insert(q.waiting, index, request)
	request.queued = true
}

// markRemoved is called for a request right before it is sent or terminated and removeFunc removes it: its
// record may be reused from then on.
func (q *admissionQueue) markRemoved(request *request) { request.queued = false }

// removeFunc calls a function on each request in order and removes those for which it returns true.
func (q *admissionQueue) removeFunc(remove func(*request) bool) {
	q.waiting = slices.DeleteFunc(q.waiting, remove)
}

// precedes reports whether a queued request is served before another one.
func (r *request) precedes(other *request) bool {
	x, y := r.weightPerWork(), other.weightPerWork()
	return x > y || (x == y && r.objectiveDeadline < other.objectiveDeadline)
}

func (r *request) weightPerWork() float64 { return r.weight / r.class.workEstimate.Value() }

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
