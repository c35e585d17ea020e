package policy

// The queue of requests that wait for capacity.

import (
	"slices"
	"sort"
)

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
