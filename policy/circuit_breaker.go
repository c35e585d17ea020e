package policy

// The circuit breaker of each server: consecutive failures open it, and a single trial closes it again.

import (
	"math"
	"slices"
	"time"

	"calicohinge/internal/jitter"
)

const (
	failureThreshold     = 5                // consecutive failures that open a breaker
	maxFailureThreshold  = 12               // the same however often the server is expected to fail
	maxChanceProbability = 1e-5             // of a run of failures: up to it, the run is taken for an outage
	failureWindow        = 60 * time.Second // that consecutive failures must fall into
	initialOpenDuration  = 2 * time.Second  // of an open breaker; doubles with each failed trial
	maxOpenDuration      = 30 * time.Second
)

type breakerState uint8

const (
	breakerClosed   breakerState = iota // the server gets requests
	breakerOpen                         // the server gets none
	breakerHalfOpen                     // the server gets a single trial
)

func (s breakerState) String() string { return enumName(s, "closed", "open", "half-open") }

// circuitBreaker is the breaker of one server. Only a half-open one has a trial.
type circuitBreaker struct {
	state        breakerState
	failures     []time.Duration // times of the consecutive failures within failureWindow
	openDuration time.Duration   // how long it stays open when it opens next
	halfOpenAt   time.Duration   // when an open one turns half-open
	trial        *attempt        // in flight; nil while a half-open one awaits it
}

func (c *circuitBreaker) becomeHalfOpenIfDue(now time.Duration) {
	if c.state == breakerOpen && now >= c.halfOpenAt {
		c.state, c.trial = breakerHalfOpen, nil
	}
}

func (c *circuitBreaker) awaitsTrial() bool { return c.state == breakerHalfOpen && c.trial == nil }

func (c *circuitBreaker) isTrial(a *attempt) bool { return c.state == breakerHalfOpen && c.trial == a }

// recordSuccess closes the breaker after its trial. A response to an older attempt shows that the server
// is alive, so that the trial may follow at once.
func (s *server) recordSuccess(now time.Duration, attempt *attempt) {
	s.breaker.failures = s.breaker.failures[:0]
	s.respondedAt = now
	switch {
	case s.breaker.isTrial(attempt):
		s.breaker.state, s.breaker.trial, s.breaker.openDuration = breakerClosed, nil, initialOpenDuration
	case s.breaker.state == breakerOpen:
		s.breaker.halfOpenAt = now
	}
}

// recordFailure opens the breaker if its trial failed or the threshold is reached. Time-outs may be due to a
// slowdown of all servers: they open no breaker once half of the subset is ejected.
func (b *Balancer) recordFailure(now time.Duration, attempt *attempt, status Status) {
	server := attempt.server
	expired := func(at time.Duration) bool { return now-at > failureWindow }
	server.breaker.failures = slices.DeleteFunc(append(server.breaker.failures, now), expired)
	switch {
	case server.breaker.isTrial(attempt):
		server.breaker.openDuration = min(2*server.breaker.openDuration, maxOpenDuration)
	case server.breaker.state != breakerClosed || !b.reachedFailureThreshold(server, status):
		return
	case status == Timeout && 2*(b.subset.countNotClosed()+1) > len(b.subset.servers):
		return
	}
	server.breaker.state, server.breaker.trial = breakerOpen, nil
	b.limiter.markAllUnresponsive(server)
	b.subset.stale = true
	server.breaker.halfOpenAt = now + jitter.Proportional(b.random, server.breaker.openDuration, jitterShare)
}

// reachedFailureThreshold reports whether the consecutive failures open the breaker. A missing response or
// connection is stronger evidence than a quick error.
func (b *Balancer) reachedFailureThreshold(server *server, status Status) bool {
	failures := len(server.breaker.failures)
	if (status == Timeout || status == ConnectFailed) && failures >= b.subset.regime.noResponseThreshold {
		return true
	}
	return failures >= failureThreshold && !b.failuresExpected(server)
}

// failuresExpected reports whether the consecutive failures are likely at the failure rate before them. The
// score steers requests away then; opening the breaker would lose what the server still serves.
func (b *Balancer) failuresExpected(server *server) bool {
	run := len(server.breaker.failures)
	before := float64(max(0, server.outcomes.Failures()-run)) + priorOutcomes*(1-b.means.successRate)
	failureRate := before / (float64(max(0, server.outcomes.Len()-run)) + priorOutcomes)
	return run < maxFailureThreshold && math.Pow(failureRate, float64(run)) > maxChanceProbability
}
