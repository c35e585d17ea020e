package policy

// What the outcomes of attempts say about their servers.

import "time"

// recordOutcome counts the outcome of an attempt for its server, unless that has restarted since.
func (b *Balancer) recordOutcome(now time.Duration, request *request, attempt *attempt, outcome Outcome) {
	server := attempt.server
	if attempt.sentAt < server.StartedAt {
		return
	}
	switch outcome.Status {
	case OK:
		b.recordResponse(now, request, attempt, outcome.Latency)
	case ServerError, Reset, ConnectFailed:
		server.score.recordFailure(now)
		b.recordBreakerFailure(now, attempt, outcome.Status)
	case Timeout:
		// A shorter one is due to its client. The measure is the baseline: the mean rises with congestion
		// until no client waits long enough to count.
		if !attempt.unresponsive && request.relativeLatency(outcome.Latency) > unresponsiveMultiple {
			server.score.recordFailure(now)
			b.recordBreakerFailure(now, attempt, Timeout)
		}
	case Rejected: // lowers the score, or a full server would be selected again
		server.score.recordFailure(now)
	case Cancelled, NotSent: // say nothing about the server
	}
	server.breaker.abandonTrial(attempt)
}

// recordResponse counts a successful response.
func (b *Balancer) recordResponse(
	now time.Duration, request *request, attempt *attempt, latency time.Duration,
) {
	relativeLatency := request.relativeLatency(latency)
	attempt.server.score.recordSuccess(now, relativeLatency)
	if relativeLatency > b.subset.regime.slowResponseMultiple {
		b.recordBreakerFailure(now, attempt, Timeout) // congested: it needs time to recover
	} else {
		attempt.server.recordSuccess(now, attempt)
	}
	b.latency.record(attempt, request, latency, b.subset.nodesPerServer)
	b.limiter.adjust(now, &b.latency, &b.subset.regime, len(b.queue.waiting))
}

// recordBreakerFailure counts a failed attempt for the breaker of its server, and opens the breaker if its
// trial failed or the threshold is reached. Time-outs may be due to a slowdown of all servers: they open no
// breaker once half of the subset is ejected.
func (b *Balancer) recordBreakerFailure(now time.Duration, attempt *attempt, status Status) {
	server := attempt.server
	breaker := &server.breaker
	breaker.recordFailure(now)
	failureRate := server.score.failureRateBefore(len(breaker.failures), b.means)
	switch {
	case breaker.isTrial(attempt):
		breaker.extendOpenDuration()
	case breaker.state != breakerClosed || !breaker.reachedThreshold(status, &b.subset.regime, failureRate):
		return
	case status == Timeout && !b.subset.mayEjectAnother():
		return
	}
	b.limiter.markAllUnresponsive(server.inFlight)
	b.subset.invalidate()
	breaker.open(now, b.random)
}

// checkAttempts counts unresponsive attempts as failures and, where permitted, hedges the request.
func (b *Balancer) checkAttempts(now time.Duration, request *request) {
	expected := request.expectedLatency(b.means.relativeLatency)
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if !attempt.isUnresponsive(now, expected) {
			continue
		}
		b.limiter.markUnresponsive(attempt)
		attempt.server.score.recordFailure(now)
		b.recordBreakerFailure(now, attempt, Timeout)
		if !b.retry.permitsHedging(now, request, expected) {
			continue
		}
		if server := b.selectServer(now, request); server != nil {
			b.send(now, request, server)
		}
	}
}
