package policy

// Retries and hedged requests.

import (
	"slices"
	"time"

	"calicohinge/internal/jitter"
)

const (
	initialBackoffShare  = 1.0 / 16 // of the class's objective; doubles with each attempt
	maxBackoff           = 30 * time.Second
	unresponsiveMultiple = 4.0 // of the expected latency without a response: counts as a failure
)

// scheduleRetry starts the backoff before a retry, or terminates the request if no retry fits.
func (b *Balancer) scheduleRetry(now time.Duration, r *request) {
	first := time.Duration(float64(r.class.Objective) * initialBackoffShare)
	retryAt := now + jitter.Fifth(b.random, min(first<<(len(r.attempts)-1), maxBackoff))
	if b.attemptsExhausted(r, retryAt) || retryAt+b.expectedLatency(r) > r.retryDeadline() {
		b.terminateUnserved(r)
		return
	}
	r.retryAt = retryAt
	b.scheduleCheckBy(now + checkInterval)
}

// retryDeadline returns when a response stops earning any weight.
func (r *request) retryDeadline() time.Duration {
	if r.class.LateFraction > 0 {
		return r.deadline
	}
	return r.objectiveDeadline
}

func (b *Balancer) attemptsExhausted(r *request, at time.Duration) bool {
	executed := r.firstExecuted()
	return len(r.attempts) >= b.settings.Limits.MaxAttempts ||
		executed != nil && !r.class.mayRepeatAfter(at-executed.sentAt)
}

func (c *requestClass) mayRepeatAfter(age time.Duration) bool {
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && age < c.KeyRetention
}

// attemptPermitted is the gate for every attempt: it enforces deadlines, limits, idempotency and slow start.
func (b *Balancer) attemptPermitted(now time.Duration, r *request, s *server) bool {
	if r.completed || r.streaming || now >= r.deadline || b.attemptsExhausted(r, now) || s.State != Ready {
		return false
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.neverRan && !b.mayFollowExecuted(r, a, s) {
			return false
		}
	}
	return b.slowStartAdmits(s, now, r.baselineLatency())
}

func (b *Balancer) mayFollowExecuted(r *request, earlier *attempt, s *server) bool {
	return (!earlier.inFlight || b.settings.Limits.Hedging) &&
		(r.class.Idempotency != IdempotentWithKey || r.class.sharesKeyScope(earlier, s))
}

// sharesKeyScope reports whether a server recognizes the idempotency keys of an earlier attempt.
func (c *requestClass) sharesKeyScope(earlier *attempt, s *server) bool {
	return c.KeyScope == KeyScopeAll || c.KeyScope == KeyScopeZone && earlier.zone == s.Zone ||
		c.KeyScope == KeyScopeCell && earlier.cell == s.Cell
}

// detectUnresponsive counts attempts as failures whose server has not responded to anything since. Where
// allowed it sends a hedged request: the time-out would come too late.
func (b *Balancer) detectUnresponsive(now time.Duration, r *request) {
	expected := b.expectedLatency(r)
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.becameUnresponsive(now, expected) {
			continue
		}
		b.limiter.markUnresponsive(a)
		a.server.outcomes.Add(now, false, 0)
		b.recordFailure(now, a, Timeout)
		if r.inFlight == 1 && b.settings.Limits.Hedging && now+expected <= r.objectiveDeadline {
			if s := b.selectServer(now, r); s != nil {
				b.send(now, r, s)
			}
		}
	}
}

func (a *attempt) becameUnresponsive(now, expected time.Duration) bool {
	return a.inFlight && !a.unresponsive && a.server.respondedAt < a.sentAt &&
		float64(now-a.sentAt) > unresponsiveMultiple*float64(expected)
}

// firstExecuted returns the first attempt that may have been executed, or nil.
func (r *request) firstExecuted() *attempt {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.neverRan {
			return a
		}
	}
	return nil
}

func (r *request) mayHaveRun() bool { return r.firstExecuted() != nil }

func (r *request) hasTried(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
}
