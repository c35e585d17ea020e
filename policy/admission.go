package policy

// Admission: quotas, the queue of requests that wait for capacity, and load shedding.

import (
	"slices"
	"sort"
	"time"
)

// admissionQueue holds the requests that wait for capacity, which are marked as queued, sorted by precedes.
type admissionQueue struct{ waiting []*request }

func (q *admissionQueue) add(request *request) {
	index := sort.Search(len(q.waiting), func(i int) bool { return request.precedes(q.waiting[i]) })
	q.waiting = slices.Insert(q.waiting, index, request)
	request.queued = true
}

func (r *request) precedes(other *request) bool {
	x, y := r.weightPerWork(), other.weightPerWork()
	return x > y || (x == y && r.objectiveDeadline < other.objectiveDeadline)
}

func (r *request) weightPerWork() float64 { return r.weight / r.class.workEstimate.Value() }

// applyQuota takes a token of the tenant's quota, or lowers the weight of a request beyond it.
func (b *Balancer) applyQuota(now time.Duration, request *request) {
	if request.Tenant < 0 || request.Tenant >= len(b.quotas) {
		return
	}
	if quota := &b.quotas[request.Tenant]; quota.Take(now) {
		request.quota = quota
	} else {
		request.weight *= b.settings.OverQuotaFraction
	}
}

// dispatch sends queued requests while servers have capacity, or terminates them if every breaker is open.
func (b *Balancer) dispatch(now time.Duration) {
	if len(b.queue.waiting) == 0 {
		return
	}
	b.refresh(now)
	kept, full := b.queue.waiting[:0], false
	for _, request := range b.queue.waiting {
		var selected *server
		if !request.completed && !full {
			selected = b.selectServer(now, request)
		}
		switch {
		case request.completed:
		case selected != nil:
			request.queued = false
			b.send(now, request, selected)
		case b.subset.allEjected():
			request.queued = false
			b.terminateUnserved(request)
		default:
			kept = append(kept, request)
			full = full || len(request.attempts) == 0 // for any that is not bound to the scope of its key
		}
	}
	b.queue.waiting = kept
}

// shedLoad terminates queued requests that cannot be served in time; dispatch drops the completed ones.
func (b *Balancer) shedLoad(now time.Duration) {
	b.queue.waiting = slices.DeleteFunc(b.queue.waiting, func(request *request) bool {
		if request.completed || !b.mustShed(now, request) {
			return false
		}
		request.queued = false
		b.terminateUnserved(request)
		return true
	})
}

// mustShed also returns a request that was not sent by its queueing deadline: its client can ask elsewhere.
func (b *Balancer) mustShed(now time.Duration, request *request) bool {
	return b.attemptsExhausted(request, now) ||
		now >= request.queueingDeadline && !request.mayHaveRun() ||
		b.lateIfQueued(now, request)
}

// lateIfQueued reports whether a queued request cannot be served by its shedding deadline any more.
func (b *Balancer) lateIfQueued(now time.Duration, request *request) bool {
	deadline, required := b.sheddingDeadline(request), request.expectedLatency(b.means.relativeLatency)
	if deadline == request.objectiveDeadline {
		required = time.Duration(b.subset.regime.sheddingMargin * float64(required))
	}
	return now+required > deadline
}

// sheddingDeadline returns the time by which a queued request must be served. On an undersampled node, which
// has capacity rarely, a late response of high weight may still earn more than another in time.
func (b *Balancer) sheddingDeadline(request *request) time.Duration {
	lateWeight := request.weight * request.class.LateFraction
	if b.subset.regime.queuesPastObjective && lateWeight >= b.arrivals.meanWeight(request.class) {
		return request.deadline
	}
	return request.objectiveDeadline
}

// terminateUnserved rejects a request, or fails it if it may have been executed and must not be again.
func (b *Balancer) terminateUnserved(request *request) {
	// Its client asks again. Unserved requests would use up an undersampled node's small part of a quota.
	if b.subset.regime.returnsQuotaToken && request.quota != nil {
		request.quota.Return()
	}
	if request.safeToReject() {
		b.host.Reject(request.ID, min(request.class.Objective/2, b.settings.Limits.MaxRetryAfter))
	} else {
		b.host.Fail(request.ID)
	}
	b.complete(request)
}

// safeToReject reports whether the client may retry the request at any node.
func (r *request) safeToReject() bool {
	return r.class.Idempotency == Idempotent || !r.mayHaveRun() ||
		r.class.Idempotency == IdempotentWithKey && r.class.KeyScope == KeyScopeAll
}
