package policy

// The queue of requests that wait for capacity.

import (
	"slices"
	"sort"
)

// admissionQueue holds the requests that wait for capacity, sorted by precedes. Each is marked as queued.
type admissionQueue struct{ waiting []*request }

// add inserts a request at its place in the order.
func (q *admissionQueue) add(request *request) {
	index := sort.Search(len(q.waiting), func(i int) bool { return request.precedes(q.waiting[i]) })
	q.waiting = slices.Insert(q.waiting, index, request)
	request.queued = true
}

// markRemoved clears the mark of a request that the function of removeFunc is about to send or to terminate.
// Without the mark, requestTable may reuse the record of the request as soon as it is released.
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

// weightPerWork returns the priority weight per unit of the work that is estimated for the class.
func (r *request) weightPerWork() float64 { return r.weight / r.class.workEstimate.Value() }
