package policy

// The circuit breaker of each server: consecutive failures open it, and a single trial closes it again.

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"calicohinge/internal/jitter"
)

const (
	failureThreshold     = 5                // consecutive failures that open a breaker if not expected
	maxFailureThreshold  = 12               // consecutive failures that open a breaker in any case
	runSignificanceLevel = 1e-5             // probability above which a run of failures is expected
	failureWindow        = 60 * time.Second // time that consecutive failures must fall into
	initialOpenDuration  = 2 * time.Second  // time that a breaker stays open; doubles with each failed trial
	maxOpenDuration      = 30 * time.Second
)

type breakerState uint8

const (
	breakerClosed   breakerState = iota // the server gets requests
	breakerOpen                         // the server gets none
	breakerHalfOpen                     // the server gets a single trial
)

func (s breakerState) String() string { return enumName(s, "closed", "open", "half-open") }

// circuitBreaker is the breaker of one server. It has a trial only while it is half-open.
type circuitBreaker struct {
	state        breakerState
	failures     []time.Duration // times of the consecutive failures within failureWindow
	openDuration time.Duration   // how long the breaker stays open when it opens next
	halfOpenAt   time.Duration   // when an open breaker turns half-open
	trial        *attempt        // the attempt in flight; nil while a half-open breaker awaits one
}

func newCircuitBreaker() circuitBreaker {
	return circuitBreaker{openDuration: initialOpenDuration}
}

// awaitsTrial reports whether the breaker is half-open and no trial is in flight.
func (c *circuitBreaker) awaitsTrial() bool { return c.state == breakerHalfOpen && c.trial == nil }

// isTrial reports whether an attempt is the trial of a half-open breaker.
func (c *circuitBreaker) isTrial(a *attempt) bool { return c.state == breakerHalfOpen && c.trial == a }

// acceptsTrial reports whether the next attempt of a request may be the trial. A request that is not
// idempotent may only be once the trial is overdue.
func (c *circuitBreaker) acceptsTrial(now time.Duration, idempotency Idempotency) bool {
	return c.awaitsTrial() && (idempotency != NotIdempotent || c.trialOverdue(now))
}

// trialOverdue reports whether no request has become the trial for as long as the breaker was open.
func (c *circuitBreaker) trialOverdue(now time.Duration) bool {
	return now > c.halfOpenAt+c.openDuration
}

// advance turns an open breaker half-open once that is due.
func (c *circuitBreaker) advance(now time.Duration) {
	if c.state == breakerOpen && now >= c.halfOpenAt {
		c.state, c.trial = breakerHalfOpen, nil
	}
}

// startAttempt makes an attempt the trial of a half-open breaker.
func (c *circuitBreaker) startAttempt(a *attempt) {
	if c.state == breakerHalfOpen {
		c.trial = a
	}
}

// abandonTrial ends a trial without a result. The breaker stays half-open and awaits another trial. An
// attempt that is not the trial has no effect.
func (c *circuitBreaker) abandonTrial(a *attempt) {
	if c.trial == a {
		c.trial = nil
	}
}

// recordSuccess closes the breaker if the attempt was its trial. A response to an older attempt shows that
// the server of an open breaker is alive, so that the trial may follow at once.
func (c *circuitBreaker) recordSuccess(now time.Duration, a *attempt) {
	c.failures = c.failures[:0]
	switch {
	case c.isTrial(a):
		c.state, c.trial, c.openDuration = breakerClosed, nil, initialOpenDuration
	case c.state == breakerOpen:
		c.halfOpenAt = now
	}
}

// recordFailure adds a consecutive failure and drops those before failureWindow.
func (c *circuitBreaker) recordFailure(now time.Duration) {
	expired := func(at time.Duration) bool { return now-at > failureWindow }
	c.failures = slices.DeleteFunc(append(c.failures, now), expired)
}

// extendOpenDuration doubles the time for which the breaker opens next, after a failed trial.
func (c *circuitBreaker) extendOpenDuration() {
	c.openDuration = min(2*c.openDuration, maxOpenDuration)
}

// open opens the breaker for about its open duration. Jitter keeps the trials of many nodes apart.
func (c *circuitBreaker) open(now time.Duration, random *rand.Rand) {
	c.state, c.trial = breakerOpen, nil
	c.halfOpenAt = now + jitter.Proportional(random, c.openDuration, jitterShare)
}

// reachedThreshold reports whether the consecutive failures, the last one of the given status, open a closed
// breaker. A missing response or connection is stronger evidence than a quick error.
func (c *circuitBreaker) reachedThreshold(status Status, regime *samplingRegime, failureRate float64) bool {
	failures := len(c.failures)
	if (status == Timeout || status == ConnectFailed) && failures >= regime.noResponseThreshold {
		return true
	}
	return failures >= failureThreshold && !c.explainedByFailureRate(failureRate)
}

// explainedByFailureRate reports whether the consecutive failures are likely at the failure rate before
// them. The score then steers requests away from the server; an open breaker would lose what it still
// serves.
func (c *circuitBreaker) explainedByFailureRate(failureRate float64) bool {
	failures := len(c.failures)
	return failures < maxFailureThreshold && math.Pow(failureRate, float64(failures)) > runSignificanceLevel
}
