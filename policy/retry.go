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
	jitterShare          = 0.2 // of a delay either way; keeps doubled delays growing
	unresponsiveMultiple = 4.0 // of the expected latency without a response: counts as a failure
)

// scheduleRetry starts the backoff before a retry, or terminates the request if no retry fits.
func (b *Balancer) scheduleRetry(now time.Duration, request *request) {
	first := time.Duration(float64(request.class.Objective) * initialBackoffShare)
	backoff := min(first<<(len(request.attempts)-1), maxBackoff)
	retryAt := now + jitter.Proportional(b.random, backoff, jitterShare)
	responseAt := retryAt + request.expectedLatency(b.means.relativeLatency)
	if b.attemptsExhausted(request, retryAt) || responseAt > request.retryDeadline() {
		b.terminateUnserved(request)
		return
	}
	request.retryAt = retryAt
	b.scheduleCheckBy(now + checkInterval)
}

// retryDeadline returns when a response stops earning any weight.
func (r *request) retryDeadline() time.Duration {
	if r.class.LateFraction > 0 {
		return r.deadline
	}
	return r.objectiveDeadline
}

func (b *Balancer) attemptsExhausted(request *request, at time.Duration) bool {
	executed := request.firstExecuted()
	return len(request.attempts) >= b.settings.Limits.MaxAttempts ||
		executed != nil && !request.class.mayRepeatAfter(at-executed.sentAt)
}

func (c *requestClass) mayRepeatAfter(age time.Duration) bool {
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && age < c.KeyRetention
}

// attemptPermitted is the gate for every attempt: it enforces deadlines, limits and idempotency.
func (b *Balancer) attemptPermitted(now time.Duration, request *request, server *server) bool {
	if request.completed || request.streaming || now >= request.deadline || server.State != Ready ||
		b.attemptsExhausted(request, now) {
		return false
	}
	for i := range request.attempts {
		if a := &request.attempts[i]; !a.notExecuted && !b.mayFollowExecuted(request, a, server) {
			return false
		}
	}
	return true
}

func (b *Balancer) mayFollowExecuted(request *request, earlier *attempt, server *server) bool {
	return (!earlier.inFlight || b.settings.Limits.Hedging) &&
		(request.class.Idempotency != IdempotentWithKey || request.class.sharesKeyScope(earlier, server))
}

// sharesKeyScope reports whether a server recognizes the idempotency keys of an earlier attempt.
func (c *requestClass) sharesKeyScope(earlier *attempt, server *server) bool {
	return c.KeyScope == KeyScopeAll || c.KeyScope == KeyScopeZone && earlier.zone == server.Zone ||
		c.KeyScope == KeyScopeCell && earlier.cell == server.Cell
}

// detectUnresponsive counts attempts without a response as failures and, where allowed, hedges the request.
func (b *Balancer) detectUnresponsive(now time.Duration, request *request) {
	expected := request.expectedLatency(b.means.relativeLatency)
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if !attempt.becameUnresponsive(now, expected) {
			continue
		}
		b.limiter.markUnresponsive(attempt)
		attempt.server.outcomes.AddFailure(now)
		b.recordFailure(now, attempt, Timeout)
		if request.inFlight == 1 && b.settings.Limits.Hedging && now+expected <= request.objectiveDeadline {
			if server := b.selectServer(now, request); server != nil {
				b.send(now, request, server)
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
		if a := &r.attempts[i]; !a.notExecuted {
			return a
		}
	}
	return nil
}

func (r *request) mayHaveRun() bool { return r.firstExecuted() != nil }

func (r *request) hasTried(server *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == server })
}
