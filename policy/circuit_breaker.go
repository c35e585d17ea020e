package policy

// The circuit breaker of each server. Consecutive failures open it, and a successful trial closes it.

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"calicohinge/internal/jitter"
)

const (
	failureThreshold         = 5                // consecutive failures that open a breaker unless plausible
	maxFailureThreshold      = 12               // consecutive failures that open a breaker even if plausible
	failureSignificanceLevel = 1e-5             // probability above which consecutive failures are plausible
	failureWindow            = 60 * time.Second // age up to which a consecutive failure counts
	initialOpenDuration      = 2 * time.Second  // first open duration; doubles with each failed trial
	maxOpenDuration          = 30 * time.Second // upper bound of the doubled open duration, without jitter
)

type breakerState uint8

const (
	breakerClosed   breakerState = iota // the server receives requests
	breakerOpen                         // the server receives no requests
	breakerHalfOpen                     // the server receives a single trial
)

func (s breakerState) String() string { return enumName(s, "closed", "open", "half-open") }

// circuitBreaker is the circuit breaker of one server. Only a half-open breaker has a trial.
type circuitBreaker struct {
	state        breakerState
	failures     []time.Duration // times of the consecutive failures, without those older than failureWindow
	openDuration time.Duration   // how long the breaker stays open the next time
	halfOpenAt   time.Duration   // when an open breaker becomes half-open
	trial        *attempt        // attempt in flight; nil while a half-open breaker awaits its trial
}

func newCircuitBreaker() circuitBreaker {
	return circuitBreaker{openDuration: initialOpenDuration}
}

// awaitsTrial reports whether the breaker is half-open and no trial is in flight.
func (c *circuitBreaker) awaitsTrial() bool { return c.state == breakerHalfOpen && c.trial == nil }

// isTrial reports whether an attempt is the trial of a half-open breaker.
func (c *circuitBreaker) isTrial(a *attempt) bool { return c.state == breakerHalfOpen && c.trial == a }

// permitsTrial reports whether the next attempt of a request may be the trial. An attempt of a request that
// is not idempotent may be the trial only if the trial is overdue.
func (c *circuitBreaker) permitsTrial(now time.Duration, idempotency Idempotency) bool {
	return c.awaitsTrial() && (idempotency != NotIdempotent || c.isTrialOverdue(now))
}

// isTrialOverdue reports whether a breaker has been half-open for longer than its open duration.
func (c *circuitBreaker) isTrialOverdue(now time.Duration) bool {
	return now > c.halfOpenAt+c.openDuration
}

// advance makes an open breaker half-open when its open duration is over.
func (c *circuitBreaker) advance(now time.Duration) {
	if c.state == breakerOpen && now >= c.halfOpenAt {
		c.state, c.trial = breakerHalfOpen, nil
	}
}

// startAttempt makes the attempt the trial if the breaker is half-open.
func (c *circuitBreaker) startAttempt(a *attempt) {
	if c.state == breakerHalfOpen {
		c.trial = a
	}
}

// abandonTrial ends a trial without a result: the breaker stays half-open and awaits another trial. It has no
// effect if the attempt is not the trial.
func (c *circuitBreaker) abandonTrial(a *attempt) {
	if c.trial == a {
		c.trial = nil
	}
}

// recordSuccess closes the breaker if the attempt was its trial. If the breaker is open, a response to an
// earlier attempt shows that the server is responsive, so the trial may start immediately.
func (c *circuitBreaker) recordSuccess(now time.Duration, a *attempt) {
	c.failures = c.failures[:0]
	switch {
	case c.isTrial(a):
		c.state, c.trial, c.openDuration = breakerClosed, nil, initialOpenDuration
	case c.state == breakerOpen:
		c.halfOpenAt = now
	}
}

// recordFailure adds a consecutive failure and drops failures older than failureWindow.
func (c *circuitBreaker) recordFailure(now time.Duration) {
	expired := func(at time.Duration) bool { return now-at > failureWindow }
	c.failures = slices.DeleteFunc(append(c.failures, now), expired)
}

// extendOpenDuration doubles the open duration after a failed trial.
func (c *circuitBreaker) extendOpenDuration() {
	c.openDuration = min(2*c.openDuration, maxOpenDuration)
}

// open opens the breaker for its open duration with jitter, which spreads the trials of many nodes.
func (c *circuitBreaker) open(now time.Duration, random *rand.Rand) {
	c.state, c.trial = breakerOpen, nil
	c.halfOpenAt = now + jitter.Proportional(random, c.openDuration, jitterShare)
}

// shouldOpen reports whether the consecutive failures, of which the last has the given status, open a
// closed breaker. A missing response or connection is stronger evidence of a fault than a fast error.
func (c *circuitBreaker) shouldOpen(status Status, regime *samplingRegime, failureRate float64) bool {
	failures := len(c.failures)
	if (status == StatusTimeout || status == StatusConnectFailed) && failures >= regime.noResponseThreshold {
		return true
	}
	return failures >= failureThreshold && !c.failuresPlausibleAt(failureRate)
}

// failuresPlausibleAt reports whether the consecutive failures are plausible at the failure rate before
// them: the probability of that many failures in a row exceeds failureSignificanceLevel. An open breaker
// would then withhold all requests from a server that could still serve some of them, whereas the score only
// directs more requests to other servers.
func (c *circuitBreaker) failuresPlausibleAt(failureRate float64) bool {
	failures := len(c.failures)
	return failures < maxFailureThreshold &&
		math.Pow(failureRate, float64(failures)) > failureSignificanceLevel
}
