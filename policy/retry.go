package policy

// Retries and hedged requests.

import (
	"math/rand/v2"
	"time"

	"calicohinge/internal/jitter"
)

const (
	initialBackoffShare = 1.0 / 16         // first backoff, as a fraction of the objective; doubles each time
	maxBackoff          = 30 * time.Second // longest backoff, without jitter

	jitterShare          = 0.2 // fraction of a delay, in either direction; lets doubled delays still grow
	unresponsiveMultiple = 4.0 // multiple of the expected latency after which an attempt is unresponsive
)

// retryPolicy determines which attempts a request may have, and when.
type retryPolicy struct {
	limits Limits
	random *rand.Rand
}

// jitteredBackoff returns the backoff before the next attempt, with jitter.
func (p *retryPolicy) jitteredBackoff(request *request) time.Duration {
	first := time.Duration(float64(request.class.Objective) * initialBackoffShare)
	backoff := min(first<<(len(request.attempts)-1), maxBackoff)
	return jitter.Proportional(p.random, backoff, jitterShare)
}

// attemptsExhausted reports whether no further attempt is permitted from the given time on: the request has
// had all of its attempts, or it may have been executed and must not be executed again.
func (p *retryPolicy) attemptsExhausted(at time.Duration, request *request) bool {
	executed := request.firstPossiblyExecuted()
	return len(request.attempts) >= p.limits.MaxAttempts ||
		executed != nil && !request.class.permitsRepeatAfter(at-executed.startedAt)
}

// permitsRetryAt reports whether a retry at the given time is permitted and its response, expected after
// the given latency, still counts.
func (p *retryPolicy) permitsRetryAt(at time.Duration, request *request, latency time.Duration) bool {
	return !p.attemptsExhausted(at, request) && at+latency <= request.retryDeadline()
}

// permitsAttempt reports whether a request may have an attempt at a server now. It is called before every
// attempt and enforces deadlines, limits and idempotency.
func (p *retryPolicy) permitsAttempt(now time.Duration, request *request, server *server) bool {
	if request.completed || request.streaming || now >= request.deadline || server.State != EndpointReady ||
		p.attemptsExhausted(now, request) {
		return false
	}
	for i := range request.attempts {
		if a := &request.attempts[i]; !a.notExecuted && !p.permitsAttemptAfter(request, a, server) {
			return false
		}
	}
	return true
}

// permitsAttemptAfter reports whether an attempt at a server may follow an earlier attempt that may have
// been executed.
func (p *retryPolicy) permitsAttemptAfter(request *request, earlier *attempt, server *server) bool {
	return (!earlier.inFlight || p.limits.Hedging) &&
		(request.class.Idempotency != IdempotentWithKey || request.class.sharesKeyScope(earlier, server))
}

// permitsHedging reports whether a request with one attempt in flight may be hedged. The response, expected
// after the given latency, must meet the objective.
func (p *retryPolicy) permitsHedging(now time.Duration, request *request, latency time.Duration) bool {
	return request.inFlight == 1 && p.limits.Hedging && now+latency <= request.objectiveDeadline
}

// retryDeadline returns the time after which a response no longer counts.
func (r *request) retryDeadline() time.Duration {
	if r.class.LateFraction > 0 {
		return r.deadline
	}
	return r.objectiveDeadline
}

// permitsRepeatAfter reports whether a request may be executed again. The age is the time since the start
// of the first attempt that may have been executed.
func (c *requestClass) permitsRepeatAfter(age time.Duration) bool {
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && age < c.KeyRetention
}

// sharesKeyScope reports whether a server recognizes the idempotency key of an earlier attempt.
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
