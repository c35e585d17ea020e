package policy

// Retries and hedged requests.

import (
	"math/rand/v2"
	"time"

	"calicohinge/internal/jitter"
)

const (
	initialBackoffShare  = 1.0 / 16 // of the class's objective; doubles with each attempt
	maxBackoff           = 30 * time.Second
	jitterShare          = 0.2 // of a delay either way; keeps doubled delays growing
	unresponsiveMultiple = 4.0 // of the expected latency without a response: counts as a failure
)

// retryPolicy says which attempts a request may have, and when.
type retryPolicy struct {
	limits Limits
	random *rand.Rand
}

// drawBackoff returns the backoff before the next attempt.
func (p *retryPolicy) drawBackoff(request *request) time.Duration {
	first := time.Duration(float64(request.class.Objective) * initialBackoffShare)
	backoff := min(first<<(len(request.attempts)-1), maxBackoff)
	return jitter.Proportional(p.random, backoff, jitterShare)
}

// attemptsExhausted reports whether a request may have no attempt at a time or later.
func (p *retryPolicy) attemptsExhausted(request *request, at time.Duration) bool {
	executed := request.firstExecuted()
	return len(request.attempts) >= p.limits.MaxAttempts ||
		executed != nil && !request.class.mayRepeatAfter(at-executed.sentAt)
}

// permitsRetryAt reports whether a retry at a time is permitted, and its response with the expected latency
// still has weight.
func (p *retryPolicy) permitsRetryAt(at time.Duration, request *request, latency time.Duration) bool {
	return !p.attemptsExhausted(request, at) && at+latency <= request.retryDeadline()
}

// permits is the check of every attempt: it enforces deadlines, limits and idempotency.
func (p *retryPolicy) permits(now time.Duration, request *request, server *server) bool {
	if request.completed || request.streaming || now >= request.deadline || server.State != Ready ||
		p.attemptsExhausted(request, now) {
		return false
	}
	for i := range request.attempts {
		if a := &request.attempts[i]; !a.notExecuted && !p.mayFollowExecuted(request, a, server) {
			return false
		}
	}
	return true
}

// mayFollowExecuted reports whether an attempt at a server may follow one that may have been executed.
func (p *retryPolicy) mayFollowExecuted(request *request, earlier *attempt, server *server) bool {
	return (!earlier.inFlight || p.limits.Hedging) &&
		(request.class.Idempotency != IdempotentWithKey || request.class.sharesKeyScope(earlier, server))
}

// permitsHedging reports whether a request with one attempt in flight may have a second one, whose response
// with the expected latency meets the objective.
func (p *retryPolicy) permitsHedging(now time.Duration, request *request, latency time.Duration) bool {
	return request.inFlight == 1 && p.limits.Hedging && now+latency <= request.objectiveDeadline
}

// retryDeadline returns when a response stops earning any weight.
func (r *request) retryDeadline() time.Duration {
	if r.class.LateFraction > 0 {
		return r.deadline
	}
	return r.objectiveDeadline
}

// mayRepeatAfter reports whether a request may be executed again at an age of its first attempt.
func (c *requestClass) mayRepeatAfter(age time.Duration) bool {
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && age < c.KeyRetention
}

// sharesKeyScope reports whether a server recognizes the idempotency keys of an earlier attempt.
func (c *requestClass) sharesKeyScope(earlier *attempt, server *server) bool {
	switch c.KeyScope {
	case KeyScopeAll:
		return true
	case KeyScopeZone:
		return earlier.zone == server.Zone
	case KeyScopeCell:
		return earlier.cell == server.Cell
	}
	return false
}
