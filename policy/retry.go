package policy

import (
	"slices"
	"time"
)

const (
	// backoffShare is the first retry's backoff as a share of the class's objective; it doubles up to
	// backoffMost.
	backoffShare = 1.0 / 16
	backoffMost  = 30 * time.Second
	// silentAfter is the multiple of the expected latency after which an unanswered attempt counts as
	// a failure.
	silentAfter = 4.0
)

// retry waits for the backoff of a further attempt, or answers now if none fits.
func (b *Balancer) retry(now time.Duration, r *request) {
	first := time.Duration(float64(r.class.Objective) * backoffShare)
	delay := b.jitter(min(first<<(len(r.attempts)-1), backoffMost))
	if b.spent(r, now+delay) || now+delay+b.expected(r) > r.lastUse() {
		b.giveUp(r)
		return
	}
	r.retryAt = now + delay
	b.sweepBy(now + sweepEvery)
}

// spent tells whether no attempt may follow at a time: there were as many as may be, or one may
// have run whose repeats are not dropped, or not any more.
func (b *Balancer) spent(r *request, at time.Duration) bool {
	first := slices.IndexFunc(r.attempts, func(a attempt) bool { return !a.neverRan })
	return len(r.attempts) >= b.set.Limits.MaxAttempts || first >= 0 &&
		(r.class.Idempotency == NotIdempotent ||
			r.class.Idempotency == IdempotentWithKey && at-r.attempts[first].sent >= r.class.KeyRetention)
}

// maySend is the one gate for every attempt. It keeps the rules: nothing after
// the end, no attempt too many, nothing to a server that drains or is gone, no
// effect twice, no cold server pushed over.
func (b *Balancer) maySend(now time.Duration, r *request, s *server) bool {
	if r.done || r.stream || now >= r.end || b.spent(r, now) || s.State != Ready {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.neverRan && (a.out && !b.set.Limits.Hedging ||
			r.class.Idempotency == IdempotentWithKey && !r.class.sameGroup(a, s)) {
			return false
		}
	}
	return b.rampAllows(s, now, b.loneLatency(r))
}

// watch counts attempts as failures that got no answer, from a server that gave none
// since. Where allowed a hedged request goes elsewhere then: the time-out comes too late.
func (b *Balancer) watch(now time.Duration, r *request) {
	expected := b.expected(r)
	for i := range r.attempts {
		a := &r.attempts[i]
		age := float64(now - a.sent)
		if !a.out || a.silent || age <= silentAfter*float64(expected) || a.server.answeredAt >= a.sent {
			continue
		}
		b.silence(a)
		a.server.outcomes.Add(now, false, 0)
		b.countFailure(now, a, Timeout)
		if r.out == 1 && b.set.Limits.Hedging && now+expected <= r.useful {
			if s := b.pick(now, r); s != nil {
				b.send(now, r, s)
			}
		}
	}
}

func (c *class) sameGroup(a *attempt, s *server) bool {
	switch c.KeyScope {
	case KeyScopeZone:
		return a.zone == s.Zone
	case KeyScopeCell:
		return a.cell == s.Cell
	}
	return true
}

func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.neverRan })
}

func (r *request) tried(s *server) bool {
	for i := range r.attempts {
		if r.attempts[i].server == s {
			return true
		}
	}
	return false
}
