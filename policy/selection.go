package policy

// The choice of a server by scores from past outcomes, with two random choices (Mitzenmacher 2001).

import "time"

const (
	outcomesPerServer = 100 // latest outcomes that a server is judged by
	priorOutcomes     = 3.0 // weight of the means beside a server's own outcomes
	successWeight     = 0.7 // of the success rate in the score
	latencyWeight     = 0.3 // of the latency in the score
	scoreTieMargin    = 0.1 // scores this close go by the attempts in flight
)

// outcomeMeans are taken over all servers of the subset, and stay as they are while there are no outcomes.
type outcomeMeans struct{ successRate, relativeLatency float64 }

// recordSuccess counts a response for the server that gave it.
func (s *server) recordSuccess(now time.Duration, attempt *attempt) {
	s.respondedAt = now
	s.breaker.recordSuccess(now, attempt)
}

// recordFailure opens the breaker of an attempt's server if its trial failed or the threshold is reached.
// Time-outs may be due to a slowdown of all servers: they open no breaker once half of the subset is ejected.
func (b *Balancer) recordFailure(now time.Duration, attempt *attempt, status Status) {
	server := attempt.server
	breaker := &server.breaker
	breaker.recordFailure(now)
	switch {
	case breaker.isTrial(attempt):
		breaker.extendOpenDuration()
	case breaker.state != breakerClosed ||
		!breaker.reachedThreshold(status, &b.subset.regime, server.failureRateBefore(b.means)):
		return
	case status == Timeout && !b.subset.mayEjectAnother():
		return
	}
	b.limiter.markAllUnresponsive(server.inFlight)
	b.subset.invalidate()
	breaker.open(now, b.random)
}

// failureRateBefore returns the failure rate of a server before its consecutive failures.
func (s *server) failureRateBefore(means outcomeMeans) float64 {
	run := len(s.breaker.failures)
	failures := float64(max(0, s.outcomes.Failures()-run)) + priorOutcomes*(1-means.successRate)
	return failures / (float64(max(0, s.outcomes.Len()-run)) + priorOutcomes)
}

// recordOutcome counts the outcome of an attempt for its server, unless that has restarted since.
func (b *Balancer) recordOutcome(now time.Duration, request *request, attempt *attempt, outcome Outcome) {
	server := attempt.server
	if attempt.sentAt < server.StartedAt {
		return
	}
	relativeLatency := outcome.Latency.Seconds() / request.baselineLatency()
	switch outcome.Status {
	case OK:
		server.outcomes.AddSuccess(now, relativeLatency)
		if relativeLatency > b.subset.regime.slowResponseMultiple {
			b.recordFailure(now, attempt, Timeout) // congested: it needs time to recover
		} else {
			server.recordSuccess(now, attempt)
		}
		b.latency.record(attempt, request, outcome.Latency, b.subset.nodesPerServer)
		b.limiter.adjust(now, &b.latency, &b.subset.regime, len(b.queue.waiting))
	case ServerError, Reset, ConnectFailed:
		server.outcomes.AddFailure(now)
		b.recordFailure(now, attempt, outcome.Status)
	case Timeout:
		// A shorter one is due to its client. The measure is the baseline: the mean rises with congestion
		// until no client waits long enough to count.
		if !attempt.unresponsive && relativeLatency > unresponsiveMultiple {
			server.outcomes.AddFailure(now)
			b.recordFailure(now, attempt, Timeout)
		}
	case Rejected: // lowers the score, or a full server would be selected again
		server.outcomes.AddFailure(now)
	}
	server.breaker.abandonTrial(attempt)
}

func (b *Balancer) updateMeans(now time.Duration) {
	outcomes, successes, latencySum := 0, 0, 0.0
	for _, s := range b.subset.servers {
		s.outcomes.Expire(now, b.subset.regime.maxOutcomeAge)
		outcomes += s.outcomes.Len()
		successes += s.outcomes.Successes()
		latencySum += s.outcomes.LatencySum()
	}
	if outcomes > 0 {
		b.means.successRate = float64(successes) / float64(outcomes)
	}
	if successes > 0 {
		b.means.relativeLatency = latencySum / float64(successes)
	}
}

// updateScores computes the scores: 0.7 x success rate + 0.3 x (1 - latency / the highest latency).
func (b *Balancer) updateScores(now time.Duration) {
	b.subset.advanceBreakers(now)
	highest := 0.0
	for _, s := range b.subset.servers {
		s.estimate(b.means)
		if s.breaker.state == breakerClosed {
			highest = max(highest, s.relativeLatency)
		}
	}
	for _, s := range b.subset.servers {
		s.score = successWeight*s.successRate +
			latencyWeight*(1-s.relativeLatency/max(highest, s.relativeLatency, 1e-9))
	}
}

// estimate counts the means as priorOutcomes outcomes, so that a server without outcomes stands at them.
func (s *server) estimate(means outcomeMeans) {
	outcomes, successes := float64(s.outcomes.Len()), float64(s.outcomes.Successes())
	s.successRate = (successes + priorOutcomes*means.successRate) / (outcomes + priorOutcomes)
	latencySum := s.outcomes.LatencySum() + priorOutcomes*means.relativeLatency
	s.relativeLatency = latencySum / (successes + priorOutcomes)
}

// selectServer returns a server for the next attempt, or nil: a half-open server that awaits its trial, else
// the better of two random candidates for a first attempt and the best of all for a retry.
func (b *Balancer) selectServer(now time.Duration, request *request) *server {
	b.refresh(now)
	if trial := b.findCandidates(now, request); trial != nil {
		return trial
	}
	n := len(b.candidates)
	if n == 0 || !b.limiter.nodeHasCapacity(request, &b.subset, &b.arrivals) {
		return nil
	}
	if len(request.attempts) == 0 && n > 2 {
		i := b.random.IntN(n)
		j := (i + 1 + b.random.IntN(n-1)) % n
		return betterServer(b.candidates[i], b.candidates[j])
	}
	best := b.candidates[0]
	for _, s := range b.candidates[1:] {
		best = betterServer(best, s)
	}
	return best
}

// findCandidates collects the servers that may get the next attempt, or returns one that gets it as a trial.
func (b *Balancer) findCandidates(now time.Duration, request *request) *server {
	b.candidates = b.candidates[:0]
	for _, s := range b.subset.servers {
		if s.breaker.state == breakerOpen || request.hasTried(s) || !b.attemptPermitted(now, request, s) {
			continue
		}
		b.slowStart.refillBudget(now, s, request.baselineLatency(), &b.subset, &b.arrivals)
		if !b.slowStart.admits(now, s) {
			continue
		}
		share := s.capacityShare(&b.settings.Rules, now)
		if s.breaker.state == breakerClosed && b.limiter.hasCapacity(s, share, b.subset.nodesPerServer) {
			b.candidates = append(b.candidates, s)
		} else if s.breaker.awaitsTrial() &&
			(request.class.Idempotency != NotIdempotent || s.breaker.trialOverdue(now)) {
			return s
		}
	}
	return nil
}

// betterServer compares by score; near-ties go to fewer attempts in flight, then to this node's zone.
func betterServer(x, y *server) *server {
	switch {
	case x.score > y.score+scoreTieMargin:
		return x
	case y.score > x.score+scoreTieMargin || len(y.inFlight) < len(x.inFlight):
		return y
	case len(y.inFlight) == len(x.inFlight) && y.sameZone && !x.sameZone:
		return y
	}
	return x
}
