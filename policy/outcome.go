package policy

// What the outcomes of attempts say about their servers.

import "time"

// recordOutcome counts the outcome of an attempt for its server, unless the server has restarted since.
func (b *Balancer) recordOutcome(now time.Duration, request *request, attempt *attempt, outcome Outcome) {
	server := attempt.server
	if attempt.sentAt < server.StartedAt {
		return
	}
	switch outcome.Status {
	case OK:
		b.recordResponse(now, request, attempt, outcome.Latency)
	case ServerError, Reset, ConnectFailed:
		b.recordFailure(now, attempt, outcome.Status)
	case Timeout:
		// A short time-out is the choice of the client and says nothing about the server. The time is
		// compared with the baseline, since the mean latency rises with congestion until no time-out would
		// count.
		timeoutIsLong := request.relativeLatency(outcome.Latency) > unresponsiveMultiple
		if timeoutIsLong && !attempt.unresponsive { // an unresponsive attempt has been counted before
			b.recordFailure(now, attempt, Timeout)
		}
	case Rejected: // lowers the score, since a full server would be selected again otherwise
		server.score.recordFailure(now)
	case Cancelled, NotSent: // say nothing about the server
	}
	server.breaker.abandonTrial(attempt)
}

// recordResponse counts a successful response. A very slow one is a failure for the breaker.
func (b *Balancer) recordResponse(
	now time.Duration, request *request, attempt *attempt, latency time.Duration,
) {
	relativeLatency := request.relativeLatency(latency)
	attempt.server.score.recordSuccess(now, relativeLatency)
	if relativeLatency > b.subset.regime.slowResponseMultiple {
		b.recordBreakerFailure(now, attempt, Timeout) // the server is congested and needs time to recover
	} else {
		attempt.server.recordSuccess(now, attempt)
	}
	b.latency.record(attempt, request, latency, b.subset.nodesPerServer)
	b.limiter.adjust(now, &b.latency, &b.subset.regime, len(b.queue.waiting))
}

// recordFailure counts a failed attempt for the score and the breaker of its server.
func (b *Balancer) recordFailure(now time.Duration, attempt *attempt, status Status) {
	attempt.server.score.recordFailure(now)
	b.recordBreakerFailure(now, attempt, status)
}

// recordBreakerFailure counts a failed attempt for the breaker of its server. It opens the breaker if the
// attempt was its trial, or if the consecutive failures eject the server.
func (b *Balancer) recordBreakerFailure(now time.Duration, attempt *attempt, status Status) {
	server := attempt.server
	breaker := &server.breaker
	breaker.recordFailure(now)
	switch {
	case breaker.isTrial(attempt):
		breaker.extendOpenDuration()
	case !b.shouldEject(server, status):
		return
	}
	b.limiter.markAllUnresponsive(server.inFlight)
	b.subset.invalidate()
	breaker.open(now, b.random)
}

// shouldEject reports whether the consecutive failures of a server, the last one of the given status, open
// its closed breaker. Time-outs may be due to a slowdown of all servers: they open no breaker once half of
// the subset is ejected.
func (b *Balancer) shouldEject(server *server, status Status) bool {
	breaker := &server.breaker
	if breaker.state != breakerClosed {
		return false
	}
	failureRate := server.score.failureRateBefore(len(breaker.failures), b.means)
	return breaker.reachedThreshold(status, &b.subset.regime, failureRate) &&
		(status != Timeout || b.subset.mayEjectAnother())
}

// handleUnresponsiveAttempts counts unresponsive attempts as failures and, where permitted, hedges the
// request.
func (b *Balancer) handleUnresponsiveAttempts(now time.Duration, request *request) {
	expected := request.expectedLatency(b.means.relativeLatency)
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if !attempt.isUnresponsive(now, expected) {
			continue
		}
		b.limiter.markUnresponsive(attempt)
		b.recordFailure(now, attempt, Timeout)
		if !b.retry.permitsHedging(now, request, expected) {
			continue
		}
		if server := b.selectServer(now, request); server != nil {
			b.send(now, request, server)
		}
	}
}
