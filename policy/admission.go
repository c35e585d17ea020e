package policy

import (
	"slices"
	"time"
)

const (
	// shedMargin is the multiple of the expected latency that must fit before the objective where the
	// queues of other nodes are not seen.
	sheddingMargin = 2.5
	// usualOver is the number of requests over which the mean priority weight of arrivals is averaged.
	maxWeightSamples = 100.0
)

// hold puts a request into the queue.
func (b *Balancer) enqueue(r *request) {
	low, high := 0, len(b.queue)
	for low < high {
		if mid := (low + high) / 2; r.precedes(b.queue[mid]) {
			high = mid
		} else {
			low = mid + 1
		}
	}
	b.queue = slices.Insert(b.queue, low, r)
	r.queued = true
}

// before orders the held requests: most value for its work first, then the end of its use.
func (r *request) precedes(o *request) bool {
	x, y := r.weight/r.class.workPerRequest, o.weight/o.class.workPerRequest
	return x > y || (x == y && r.objectiveDeadline < o.objectiveDeadline)
}

// dispatch sends what is held while servers have room. With every breaker open
// it refuses at once.
func (b *Balancer) dispatch(now time.Duration) {
	if len(b.queue) == 0 {
		return
	}
	b.refresh(now)
	kept, full := b.queue[:0], false
	for _, r := range b.queue {
		var s *server
		if !r.completed && !full {
			s = b.selectServer(now, r)
		}
		switch {
		case r.completed:
		case s != nil:
			r.queued = false
			b.send(now, r, s)
		case b.closed+b.awaiting == 0:
			r.queued = false
			b.terminateUnserved(r)
		default:
			kept = append(kept, r)
			full = full || len(r.attempts) == 0 // no room for any that are not bound to a group
		}
	}
	b.queue = kept
}

// shed ends the wait of held requests that cannot be answered in time any more.
func (b *Balancer) shedLoad(now time.Duration) {
	b.queue = slices.DeleteFunc(b.queue, func(r *request) bool {
		// One that could not be sent by half of its time goes back: its client can ask elsewhere.
		late := b.attemptsExhausted(r, now) || now >= r.queueingDeadline && !r.mayHaveRun()
		if r.completed || !late && now+b.requiredTime(r) <= b.sheddingDeadline(r) {
			return false // dispatch drops those that are done
		}
		r.queued = false
		b.terminateUnserved(r)
		return true
	})
}

// valuableUntil is when an answer stops being worth its work. On a sparse node a late answer to a
// request of much value may still earn more than one in time to another: the node's room for
// a request comes seldom, but soon enough.
func (b *Balancer) sheddingDeadline(r *request) time.Duration {
	if b.undersampled() && r.weight*r.class.LateFraction >= b.meanWeight*r.class.workPerRequest {
		return r.deadline
	}
	return r.objectiveDeadline
}

// mustFit is how much time must be left to a held request. Where others' waits go unseen an
// answer has to fit amply; but one worth waiting for beyond its objective goes before all others.
func (b *Balancer) requiredTime(r *request) time.Duration {
	if b.undersampled() && b.sheddingDeadline(r) == r.objectiveDeadline {
		return time.Duration(sheddingMargin * float64(b.expectedLatency(r)))
	}
	return b.expectedLatency(r)
}

// giveUp ends a request unserved: a refusal where its promise holds, else a failure.
func (b *Balancer) terminateUnserved(r *request) {
	// What is not served takes nothing of a quota, since its client asks again: a sparse node's
	// part is a few requests a second, which tries alone would use up.
	if b.undersampled() && r.quota != nil {
		r.quota.Return()
	}
	if r.safeToReject() {
		b.host.Reject(r.ID, min(r.class.Objective/2, b.settings.Limits.MaxRetryAfter))
	} else {
		b.host.Fail(r.ID)
	}
	b.complete(r)
}

// mayRefuse tells whether the promise of a refusal holds.
func (r *request) safeToReject() bool {
	c := r.class
	return c.Idempotency == Idempotent ||
		(c.Idempotency == IdempotentWithKey && c.KeyScope == KeyScopeAll) || !r.mayHaveRun()
}
