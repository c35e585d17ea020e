package policy

// Admission: quotas, the queue of requests that wait for capacity, and load shedding.

import (
	"slices"
	"sort"
	"time"
)

const (
	sheddingMargin   = 2.5 // of the expected latency before the objective, if others' queues are not seen
	maxWeightSamples = 100 // arrivals over which the priority weight is averaged
)

// admissionQueue holds the requests that wait for capacity, which are marked as queued, sorted by precedes.
type admissionQueue struct{ waiting []*request }

func (q *admissionQueue) add(r *request) {
	index := sort.Search(len(q.waiting), func(i int) bool { return r.precedes(q.waiting[i]) })
	q.waiting = slices.Insert(q.waiting, index, r)
	r.queued = true
}

func (r *request) precedes(other *request) bool {
	x, y := r.weightPerWork(), other.weightPerWork()
	return x > y || (x == y && r.objectiveDeadline < other.objectiveDeadline)
}

func (r *request) weightPerWork() float64 { return r.weight / r.class.workEstimate.Value() }

// applyQuota takes a token of the tenant's quota, or lowers the weight of a request beyond it.
func (b *Balancer) applyQuota(now time.Duration, r *request) {
	if r.Tenant < 0 || r.Tenant >= len(b.quotas) {
		return
	}
	if quota := &b.quotas[r.Tenant]; quota.Take(now) {
		r.quota = quota
	} else {
		r.weight *= b.settings.OverQuotaFraction
	}
}

// dispatch sends queued requests while servers have capacity, or terminates them if every breaker is open.
func (b *Balancer) dispatch(now time.Duration) {
	if len(b.queue.waiting) == 0 {
		return
	}
	b.refresh(now)
	kept, full := b.queue.waiting[:0], false
	for _, r := range b.queue.waiting {
		var s *server
		if !r.completed && !full {
			s = b.selectServer(now, r)
		}
		switch {
		case r.completed:
		case s != nil:
			r.queued = false
			b.send(now, r, s)
		case b.subset.closed+b.subset.awaitingTrial == 0:
			r.queued = false
			b.terminateUnserved(r)
		default:
			kept = append(kept, r)
			full = full || len(r.attempts) == 0 // for any that is not bound to the scope of its key
		}
	}
	b.queue.waiting = kept
}

// shedLoad terminates queued requests that cannot be served in time; dispatch drops the completed ones.
func (b *Balancer) shedLoad(now time.Duration) {
	b.queue.waiting = slices.DeleteFunc(b.queue.waiting, func(r *request) bool {
		if r.completed || !b.mustShed(now, r) {
			return false
		}
		r.queued = false
		b.terminateUnserved(r)
		return true
	})
}

// mustShed also returns a request that was not sent by its queueing deadline: its client can ask elsewhere.
func (b *Balancer) mustShed(now time.Duration, r *request) bool {
	return b.attemptsExhausted(r, now) ||
		now >= r.queueingDeadline && !r.mayHaveRun() ||
		now+b.requiredServiceTime(r) > b.sheddingDeadline(r)
}

// sheddingDeadline returns the time by which a queued request must be served. On an undersampled node, which
// has capacity rarely, a late response of high weight may still earn more than another in time.
func (b *Balancer) sheddingDeadline(r *request) time.Duration {
	lateWeight := r.weight * r.class.LateFraction
	if b.subset.undersampled() && lateWeight >= b.arrivalWeight.Value()*r.class.workEstimate.Value() {
		return r.deadline
	}
	return r.objectiveDeadline
}

func (b *Balancer) requiredServiceTime(r *request) time.Duration {
	if b.subset.undersampled() && b.sheddingDeadline(r) == r.objectiveDeadline {
		return time.Duration(sheddingMargin * float64(b.expectedLatency(r)))
	}
	return b.expectedLatency(r)
}

// terminateUnserved rejects a request, or fails it if it may have been executed and must not be again.
func (b *Balancer) terminateUnserved(r *request) {
	// Its client asks again. Unserved requests would use up an undersampled node's small part of a quota.
	if b.subset.undersampled() && r.quota != nil {
		r.quota.Return()
	}
	if r.safeToReject() {
		b.host.Reject(r.ID, min(r.class.Objective/2, b.settings.Limits.MaxRetryAfter))
	} else {
		b.host.Fail(r.ID)
	}
	b.complete(r)
}

// safeToReject reports whether the client may retry the request at any node.
func (r *request) safeToReject() bool {
	return r.class.Idempotency == Idempotent || !r.mayHaveRun() ||
		r.class.Idempotency == IdempotentWithKey && r.class.KeyScope == KeyScopeAll
}
