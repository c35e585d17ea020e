package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// failuresToOpen is the number of consecutive failures that opens a breaker.
	failureThreshold = 5
	// fewToOpen replaces it for time-outs and failed connections on an undersampled node.
	noResponseThreshold = 2
	// failuresMost opens a breaker however often the server is expected to fail.
	maxFailureThreshold = 12
	// byChance is the probability, at the server's expected failure rate, below which a run of
	// failures is taken for an outage.
	maxChanceProbability = 1e-5
	// failuresFor is the window that consecutive failures must fall into.
	failureWindow = 60 * time.Second
	// openFirst is how long a breaker stays open; it doubles with each failed trial up to openMost.
	initialOpenDuration = 2 * time.Second
	maxOpenDuration     = 30 * time.Second
	// slowAfter is the multiple of the baseline latency from which an undersampled node counts a
	// response as a failure.
	slowResponseMultiple = 5.0
)

type breakerState uint8

const (
	breakerClosed breakerState = iota
	breakerOpen
	breakerHalfOpen
)

// countFailure counts a failure towards opening the breaker. One for want of an answer may be
// slowness alone and opens it only while fewer than half of the servers are out:
// when all are slow together, ejecting them would refuse everything.
func (b *Balancer) recordFailure(now time.Duration, a *attempt, how Status) {
	s := a.server
	s.consecutiveFailures = append(s.consecutiveFailures, now)
	tooOld := func(at time.Duration) bool { return now-at > failureWindow }
	s.consecutiveFailures = slices.DeleteFunc(s.consecutiveFailures, tooOld)
	switch {
	case s.breaker == breakerHalfOpen && s.trial == a:
		s.openDuration = min(2*s.openDuration, maxOpenDuration)
	case s.breaker != breakerClosed || !b.reachedFailureThreshold(s, how):
		return
	case how == Timeout && 2*(b.countNotClosed()+1) > len(b.subset):
		return
	}
	s.breaker, s.trial = breakerOpen, nil
	for _, a := range s.inFlight {
		b.markUnresponsive(a)
	}
	b.subsetStale = true
	s.halfOpenAt = now + b.jitter(s.openDuration)
}

// trips tells whether the failures in a row open a breaker. A sparse node meets a server so
// seldom that five would take it seconds, in which all nodes fill the server's queue with work
// that nobody waits for, or have requests wait for connections to a machine that is gone. To
// get no answer or no connection at all says more than a quick error.
func (b *Balancer) reachedFailureThreshold(s *server, how Status) bool {
	if b.undersampled() && (how == Timeout || how == ConnectFailed) {
		return len(s.consecutiveFailures) >= noResponseThreshold
	}
	return len(s.consecutiveFailures) >= failureThreshold && !b.failuresExpected(s)
}

// failsUsually tells whether a server fails so often that its present run of failures says
// nothing new. Its score steers requests away from it then; to open its breaker would
// take what it still serves from a fleet in which, say, connections break everywhere.
func (b *Balancer) failuresExpected(s *server) bool {
	run := len(s.consecutiveFailures)
	before := float64(max(0, s.outcomes.Failures()-run)) + priorOutcomes*(1-b.meanSuccess)
	share := before / (float64(max(0, s.outcomes.Len()-run)) + priorOutcomes)
	return run < maxFailureThreshold && math.Pow(share, float64(run)) > maxChanceProbability
}

func (b *Balancer) countNotClosed() (count int) {
	for _, s := range b.subset {
		if s.breaker != breakerClosed {
			count++
		}
	}
	return count
}

// succeeded closes the breaker. An answer to an older attempt shows an open
// server to be alive, so its trial may come at once.
func (s *server) recordSuccess(now time.Duration, a *attempt) {
	s.consecutiveFailures = s.consecutiveFailures[:0]
	s.respondedAt = now
	switch {
	case s.breaker == breakerHalfOpen && s.trial == a:
		s.breaker, s.trial, s.openDuration = breakerClosed, nil, initialOpenDuration
	case s.breaker == breakerOpen:
		s.halfOpenAt = now
	}
}
