package policy

import (
	"slices"
	"time"
)

const (
	// backoffShare is the first retry's backoff as a share of the class's objective; it doubles up to
	// backoffMost.
	initialBackoffShare = 1.0 / 16
	maxBackoff          = 30 * time.Second
	// silentAfter is the multiple of the expected latency after which an unanswered attempt counts as
	// a failure.
	unresponsiveMultiple = 4.0
)

// retry waits for the backoff of a further attempt, or answers now if none fits.
func (b *Balancer) scheduleRetry(now time.Duration, r *request) {
	first := time.Duration(float64(r.class.Objective) * initialBackoffShare)
	delay := b.jitter(min(first<<(len(r.attempts)-1), maxBackoff))
	if b.attemptsExhausted(r, now+delay) || now+delay+b.expectedLatency(r) > r.retryDeadline() {
		b.terminateUnserved(r)
		return
	}
	r.retryAt = now + delay
	b.scheduleCheck(now + checkInterval)
}

// spent tells whether no attempt may follow at a time: there were as many as may be, or one may
// have run whose repeats are not dropped, or not any more.
func (b *Balancer) attemptsExhausted(r *request, at time.Duration) bool {
	first := slices.IndexFunc(r.attempts, func(a attempt) bool { return !a.neverRan })
	return len(r.attempts) >= b.settings.Limits.MaxAttempts || first >= 0 &&
		(r.class.Idempotency == NotIdempotent ||
			r.class.Idempotency == IdempotentWithKey && at-r.attempts[first].sentAt >= r.class.KeyRetention)
}

// maySend is the one gate for every attempt. It keeps the rules: nothing after
// the end, no attempt too many, nothing to a server that drains or is gone, no
// effect twice, no cold server pushed over.
func (b *Balancer) attemptPermitted(now time.Duration, r *request, s *server) bool {
	if r.completed || r.streaming || now >= r.deadline || b.attemptsExhausted(r, now) || s.State != Ready {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.neverRan && (a.inFlight && !b.settings.Limits.Hedging ||
			r.class.Idempotency == IdempotentWithKey && !r.class.sharesKeyScope(a, s)) {
			return false
		}
	}
	return b.slowStartAdmits(s, now, b.baselineLatency(r))
}

// watch counts attempts as failures that got no answer, from a server that gave none
// since. Where allowed a hedged request goes elsewhere then: the time-out comes too late.
func (b *Balancer) detectUnresponsive(now time.Duration, r *request) {
	expected := b.expectedLatency(r)
	for i := range r.attempts {
		a := &r.attempts[i]
		age := float64(now - a.sentAt)
		if !a.inFlight || a.unresponsive || age <= unresponsiveMultiple*float64(expected) ||
			a.server.respondedAt >= a.sentAt {
			continue
		}
		b.markUnresponsive(a)
		a.server.outcomes.Add(now, false, 0)
		b.recordFailure(now, a, Timeout)
		if r.inFlight == 1 && b.settings.Limits.Hedging && now+expected <= r.objectiveDeadline {
			if s := b.selectServer(now, r); s != nil {
				b.send(now, r, s)
			}
		}
	}
}

func (c *requestClass) sharesKeyScope(a *attempt, s *server) bool {
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

func (r *request) hasTried(s *server) bool {
	for i := range r.attempts {
		if r.attempts[i].server == s {
			return true
		}
	}
	return false
}
