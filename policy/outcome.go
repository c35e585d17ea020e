package policy

// The effect of an attempt's outcome on the measurements of its server.

import "time"

// recordOutcome updates the measurements of a server with an attempt's outcome. It ignores the outcome if the
// server has restarted since the attempt started.
func (b *Balancer) recordOutcome(now time.Duration, request *request, attempt *attempt, outcome Outcome) {
	server := attempt.server
	if attempt.startedAt < server.StartedAt {
		return
	}
	switch outcome.Status {
	case StatusOK:
		b.recordResponse(now, request, attempt, outcome.Latency)
	case StatusServerError, StatusReset, StatusConnectFailed:
		b.recordFailure(now, attempt, outcome.Status)
	case StatusTimeout:
		// A short timeout is the client's choice and not evidence against the server. The latency is
		// compared with the baseline instead of the mean: the mean rises with congestion, until no
		// timeout would count as a failure.
		timeoutIsLong := request.relativeLatency(outcome.Latency) > unresponsiveMultiple
		if timeoutIsLong && !attempt.unresponsive { // an unresponsive attempt has already been counted
			b.recordFailure(now, attempt, StatusTimeout)
		}
	case StatusRejected: // counts in the score only; otherwise a full server would be selected again
		server.score.recordFailure(now)
	case StatusCancelled, StatusNotSent: // no evidence about the server
	}
	server.breaker.abandonTrial(attempt)
}

// recordResponse records a successful response. The circuit breaker counts a very slow response as a
// failure.
func (b *Balancer) recordResponse(
	now time.Duration, request *request, attempt *attempt, latency time.Duration,
) {
	relativeLatency := request.relativeLatency(latency)
	attempt.server.score.recordSuccess(now, relativeLatency)
	if relativeLatency > b.subset.regime.slowResponseMultiple {
		b.recordBreakerFailure(now, attempt, StatusTimeout) // a congested server needs time to recover
	} else {
		attempt.server.recordSuccess(now, attempt)
	}
	b.latency.record(attempt, request, latency, b.subset.nodesPerServer)
	b.limiter.adjust(now, &b.latency, &b.subset.regime, len(b.queue.waiting))
}

// recordFailure records a failed attempt in the score and the circuit breaker of its server.
func (b *Balancer) recordFailure(now time.Duration, attempt *attempt, status Status) {
	attempt.server.score.recordFailure(now)
	b.recordBreakerFailure(now, attempt, status)
}

// recordBreakerFailure records a failed attempt in the circuit breaker of its server. It opens the breaker
// if the attempt was its trial or if shouldEject reports that the consecutive failures eject the server.
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

// shouldEject reports whether the consecutive failures of a server, of which the last has the given status,
// open its closed breaker. Timeouts may be caused by a slowdown of all servers, so a timeout opens no
// breaker if more than half of the subset would then be ejected.
func (b *Balancer) shouldEject(server *server, status Status) bool {
	breaker := &server.breaker
	if breaker.state != breakerClosed {
		return false
	}
	failureRate := server.score.failureRateBefore(len(breaker.failures), b.means)
	return breaker.shouldOpen(status, &b.subset.regime, failureRate) &&
		(status != StatusTimeout || b.subset.permitsEjection())
}

// handleUnresponsiveAttempts records unresponsive attempts as failures and, if permitted, hedges the request.
func (b *Balancer) handleUnresponsiveAttempts(now time.Duration, request *request) {
	expected := request.expectedLatency(b.means.relativeLatency)
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if !attempt.isUnresponsive(now, expected) {
			continue
		}
		b.limiter.markUnresponsive(attempt)
		b.recordFailure(now, attempt, StatusTimeout)
		if !b.retry.permitsHedging(now, request, expected) {
			continue
		}
		if server := b.selectServer(now, request); server != nil {
			b.send(now, request, server)
		}
	}
}
