package policy

// The queue of requests waiting for capacity.

import (
	"slices"
	"sort"
)

// admissionQueue holds the requests waiting for capacity, sorted by precedes. Each request
// in the queue is marked as queued.
type admissionQueue struct{ waiting []*request }

// add inserts a request in sorted order.
func (q *admissionQueue) add(request *request) {
	index := sort.Search(len(q.waiting), func(i int) bool { return request.precedes(q.waiting[i]) })
	q.waiting = slices.Insert(q.waiting, index, request)
	request.queued = true
}

// markRemoved clears the queued mark of a request. A function passed to removeFunc must call it before it
// sends, rejects or fails the request. From then on, requestTable may reuse the record as soon as the
// request is released.
func (q *admissionQueue) markRemoved(request *request) { request.queued = false }

// removeFunc calls the function for each request in order and removes those for which it returns true.
func (q *admissionQueue) removeFunc(remove func(*request) bool) {
	q.waiting = slices.DeleteFunc(q.waiting, remove)
}

// precedes reports whether a queued request is served before another: if its weight per unit of work is
// higher, or if both weights are equal and its objective deadline is earlier.
func (r *request) precedes(other *request) bool {
	x, y := r.weightPerWork(), other.weightPerWork()
	return x > y || (x == y && r.objectiveDeadline < other.objectiveDeadline)
}

// weightPerWork returns the priority weight per unit of the estimated work of the class.
func (r *request) weightPerWork() float64 { return r.weight / r.class.workEstimate.Value() }
