package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// failuresToOpen is the number of consecutive failures that opens a breaker.
	failuresToOpen = 5
	// fewToOpen replaces it for time-outs and failed connections on an undersampled node.
	fewToOpen = 2
	// failuresMost opens a breaker however often the server is expected to fail.
	failuresMost = 12
	// byChance is the probability, at the server's expected failure rate, below which a run of
	// failures is taken for an outage.
	byChance = 1e-5
	// failuresFor is the window that consecutive failures must fall into.
	failuresFor = 60 * time.Second
	// openFirst is how long a breaker stays open; it doubles with each failed trial up to openMost.
	openFirst = 2 * time.Second
	openMost  = 30 * time.Second
	// slowAfter is the multiple of the baseline latency from which an undersampled node counts a
	// response as a failure.
	slowAfter = 5.0
)

type breaker uint8

const (
	closed breaker = iota
	open
	halfOpen
)

// countFailure counts a failure towards opening the breaker. One for want of an answer may be
// slowness alone and opens it only while fewer than half of the servers are out:
// when all are slow together, ejecting them would refuse everything.
func (b *Balancer) countFailure(now time.Duration, a *attempt, how Status) {
	s := a.server
	s.failures = append(s.failures, now)
	s.failures = slices.DeleteFunc(s.failures, func(at time.Duration) bool { return now-at > failuresFor })
	switch {
	case s.breaker == halfOpen && s.trial == a:
		s.openFor = min(2*s.openFor, openMost)
	case s.breaker != closed || !b.trips(s, how):
		return
	case how == Timeout && 2*(b.notClosed()+1) > len(b.subset):
		return
	}
	s.breaker, s.trial = open, nil
	for _, a := range s.out {
		b.silence(a)
	}
	b.subsetStale = true
	s.reopenAt = now + b.jitter(s.openFor)
}

// trips tells whether the failures in a row open a breaker. A sparse node meets a server so
// seldom that five would take it seconds, in which all nodes fill the server's queue with work
// that nobody waits for, or have requests wait for connections to a machine that is gone. To
// get no answer or no connection at all says more than a quick error.
func (b *Balancer) trips(s *server, how Status) bool {
	if b.sparse() && (how == Timeout || how == ConnectFailed) {
		return len(s.failures) >= fewToOpen
	}
	return len(s.failures) >= failuresToOpen && !b.failsUsually(s)
}

// failsUsually tells whether a server fails so often that its present run of failures says
// nothing new. Its score steers requests away from it then; to open its breaker would
// take what it still serves from a fleet in which, say, connections break everywhere.
func (b *Balancer) failsUsually(s *server) bool {
	run := len(s.failures)
	before := float64(max(0, s.outcomes.Failures()-run)) + priorOutcomes*(1-b.meanSuccess)
	share := before / (float64(max(0, s.outcomes.Len()-run)) + priorOutcomes)
	return run < failuresMost && math.Pow(share, float64(run)) > byChance
}

func (b *Balancer) notClosed() (count int) {
	for _, s := range b.subset {
		if s.breaker != closed {
			count++
		}
	}
	return count
}

// succeeded closes the breaker. An answer to an older attempt shows an open
// server to be alive, so its trial may come at once.
func (s *server) succeeded(now time.Duration, a *attempt) {
	s.failures = s.failures[:0]
	s.answeredAt = now
	switch {
	case s.breaker == halfOpen && s.trial == a:
		s.breaker, s.trial, s.openFor = closed, nil, openFirst
	case s.breaker == open:
		s.reopenAt = now
	}
}
