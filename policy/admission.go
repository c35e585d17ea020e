package policy

import (
	"slices"
	"time"
)

const (
	// shedMargin is the multiple of the expected latency that must fit before the objective where the
	// queues of other nodes are not seen.
	shedMargin = 2.5
	// usualOver is the number of requests over which the mean priority weight of arrivals is averaged.
	usualOver = 100.0
)

// hold puts a request into the queue.
func (b *Balancer) hold(r *request) {
	low, high := 0, len(b.held)
	for low < high {
		if mid := (low + high) / 2; r.before(b.held[mid]) {
			high = mid
		} else {
			low = mid + 1
		}
	}
	b.held = slices.Insert(b.held, low, r)
	r.held = true
}

// before orders the held requests: most value for its work first, then the end of its use.
func (r *request) before(o *request) bool {
	x, y := r.value/r.class.work, o.value/o.class.work
	return x > y || (x == y && r.useful < o.useful)
}

// dispatch sends what is held while servers have room. With every breaker open
// it refuses at once.
func (b *Balancer) dispatch(now time.Duration) {
	if len(b.held) == 0 {
		return
	}
	b.refresh(now)
	kept, full := b.held[:0], false
	for _, r := range b.held {
		var s *server
		if !r.done && !full {
			s = b.pick(now, r)
		}
		switch {
		case r.done:
		case s != nil:
			r.held = false
			b.send(now, r, s)
		case b.closed+b.awaiting == 0:
			r.held = false
			b.giveUp(r)
		default:
			kept = append(kept, r)
			full = full || len(r.attempts) == 0 // no room for any that are not bound to a group
		}
	}
	b.held = kept
}

// shed ends the wait of held requests that cannot be answered in time any more.
func (b *Balancer) shed(now time.Duration) {
	b.held = slices.DeleteFunc(b.held, func(r *request) bool {
		// One that could not be sent by half of its time goes back: its client can ask elsewhere.
		late := b.spent(r, now) || now >= r.half && !r.mayHaveRun()
		if r.done || !late && now+b.mustFit(r) <= b.valuableUntil(r) {
			return false // dispatch drops those that are done
		}
		r.held = false
		b.giveUp(r)
		return true
	})
}

// valuableUntil is when an answer stops being worth its work. On a sparse node a late answer to a
// request of much value may still earn more than one in time to another: the node's room for
// a request comes seldom, but soon enough.
func (b *Balancer) valuableUntil(r *request) time.Duration {
	if b.sparse() && r.value*r.class.LateFraction >= b.usualValue*r.class.work {
		return r.end
	}
	return r.useful
}

// mustFit is how much time must be left to a held request. Where others' waits go unseen an
// answer has to fit amply; but one worth waiting for beyond its objective goes before all others.
func (b *Balancer) mustFit(r *request) time.Duration {
	if b.sparse() && b.valuableUntil(r) == r.useful {
		return time.Duration(shedMargin * float64(b.expected(r)))
	}
	return b.expected(r)
}

// giveUp ends a request unserved: a refusal where its promise holds, else a failure.
func (b *Balancer) giveUp(r *request) {
	// What is not served takes nothing of a quota, since its client asks again: a sparse node's
	// part is a few requests a second, which tries alone would use up.
	if b.sparse() && r.quota != nil {
		r.quota.Return()
	}
	if r.mayRefuse() {
		b.host.Reject(r.ID, min(r.class.Objective/2, b.set.Limits.MaxRetryAfter))
	} else {
		b.host.Fail(r.ID)
	}
	b.finish(r)
}

// mayRefuse tells whether the promise of a refusal holds.
func (r *request) mayRefuse() bool {
	c := r.class
	return c.Idempotency == Idempotent ||
		(c.Idempotency == IdempotentWithKey && c.KeyScope == KeyScopeAll) || !r.mayHaveRun()
}
