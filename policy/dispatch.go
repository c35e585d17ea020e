package policy

// The path of a request: from the admission queue to a server, or to its rejection or failure.

import "time"

// refresh updates the subset, the scores and all other estimates. It runs at most once per timestamp, unless
// needsRefresh is set.
func (b *Balancer) refresh(now time.Duration) {
	if !b.needsRefresh && b.refreshedAt == now {
		return
	}
	elapsed := now - b.refreshedAt
	b.needsRefresh, b.refreshedAt = false, now
	b.subset.updateIfDue(now, b.endpoints.ready, b.arrivals.rate.PerSecond(now))
	b.means.update(now, b.subset.servers, b.subset.regime.maxOutcomeAge)
	b.slowStart.updateWarmServerWorkRate(now, elapsed, &b.subset, len(b.endpoints.ready))
	b.limiter.updateMeanInFlight(elapsed)
	b.subset.advanceBreakers(now)
	b.means.updateScores(b.subset.servers)
}

// dispatch sends queued requests while servers have capacity. It rejects or fails them if every server of
// the subset is ejected.
func (b *Balancer) dispatch(now time.Duration) {
	if len(b.queue.waiting) == 0 {
		return
	}
	b.refresh(now)
	noCapacity := false // no server has capacity for a first attempt; the rest of the queue then waits
	b.queue.removeFunc(func(request *request) bool {
		if request.completed {
			return true
		}
		if !noCapacity && b.sendIfCapacity(now, request) {
			return true
		}
		if b.subset.allEjected() {
			b.queue.markRemoved(request)
			b.rejectOrFail(request)
			return true
		}
		// A first attempt may go to any ready server, so there is no capacity for later requests either.
		// A retry may be restricted to the scope of its idempotency key, so it does not block them.
		isFirstAttempt := len(request.attempts) == 0
		noCapacity = noCapacity || isFirstAttempt
		return false
	})
}

// sendIfCapacity sends a queued request if a server has capacity, and reports whether it was sent.
func (b *Balancer) sendIfCapacity(now time.Duration, request *request) bool {
	if !b.sync.permitsAttempts() {
		return false
	}
	server := b.selectServer(now, request)
	if server == nil {
		return false
	}
	b.queue.markRemoved(request)
	b.send(now, request, server)
	return true
}

// shedLoad rejects or fails queued requests that cannot be served in time. Completed requests stay in the
// queue until dispatch removes them.
func (b *Balancer) shedLoad(now time.Duration) {
	b.queue.removeFunc(func(request *request) bool {
		if request.completed || !b.shedder.shouldShed(now, request) {
			return false
		}
		b.queue.markRemoved(request)
		b.rejectOrFail(request)
		return true
	})
}

// selectServer returns a server for the next attempt, or nil if no server has capacity. A server that awaits
// its trial takes precedence. Otherwise a first attempt gets the better of two random candidates, and a
// retry or hedged request the best of all candidates.
func (b *Balancer) selectServer(now time.Duration, request *request) *server {
	b.refresh(now)
	b.collectCandidates(now, request)
	switch {
	case b.candidates.trial != nil:
		return b.candidates.trial
	case len(b.candidates.closed) == 0 || !b.limiter.nodeHasCapacity(request, &b.subset, &b.arrivals):
		return nil
	case len(request.attempts) == 0:
		return b.candidates.betterOfTwoRandom(b.random)
	}
	return b.candidates.best()
}

// collectCandidates collects the servers that may get the next attempt. It stops at the first server whose
// half-open breaker permits the attempt as its trial. It also refills the slow start budgets of the servers
// that the retry policy permits.
func (b *Balancer) collectCandidates(now time.Duration, request *request) {
	b.candidates.reset()
	work := request.baselineLatency()
	for _, s := range b.subset.servers {
		if s.breaker.state == breakerOpen || request.hasTried(s) || !b.retry.permitsAttempt(now, request, s) {
			continue
		}
		b.slowStart.refillBudget(now, s, work, &b.subset, &b.arrivals)
		if !b.slowStart.permitsAttempt(now, s) {
			continue
		}
		share := s.capacityShare(&b.settings.Rules, now)
		if s.breaker.state == breakerClosed &&
			b.limiter.serverHasCapacity(s, share, b.subset.nodesPerServer) {
			b.candidates.closed = append(b.candidates.closed, s)
		} else if s.breaker.permitsTrial(now, request.class.Idempotency) {
			b.candidates.trial = s
			return
		}
	}
}

// send starts an attempt at a server returned by selectServer.
func (b *Balancer) send(now time.Duration, request *request, server *server) {
	b.startAttempt(now, request, server)
	b.slowStart.recordSend(now, server, request.baselineLatency())
	b.host.Send(request.ID, server.Server, 0)
}

// startAttempt records a new attempt with its request, its server and the concurrency limiter.
func (b *Balancer) startAttempt(now time.Duration, request *request, server *server) {
	attempt := request.startAttempt(now, server)
	b.limiter.startAttempt(attempt, &b.subset)
	server.startAttempt(attempt)
}

// scheduleRetry starts the backoff before a retry. It rejects or fails the request if a retry is not
// permitted or would be late.
func (b *Balancer) scheduleRetry(now time.Duration, request *request) {
	retryAt := now + b.retry.jitteredBackoff(request)
	if !b.retry.permitsRetryAt(retryAt, request, request.expectedLatency(b.means.relativeLatency)) {
		b.rejectOrFail(request)
		return
	}
	request.startBackoff(retryAt)
	b.checkTimer.scheduleBy(now + checkInterval)
}

// rejectOrFail rejects a request if its client may safely retry it, and fails it otherwise.
func (b *Balancer) rejectOrFail(request *request) {
	if b.subset.regime.refundsQuotaToken {
		b.quotas.refund(request)
	}
	if request.safeToReject() {
		b.host.Reject(request.ID, retryAfter(request.class, &b.settings.Limits))
	} else {
		b.host.Fail(request.ID)
	}
	b.complete(request)
}

// complete completes a request, cancels its attempts in flight, and releases it when none are left. It has
// no effect on a request that is already completed and still has attempts in flight.
func (b *Balancer) complete(request *request) {
	if !request.completed {
		b.cancelAttempts(request, nil)
	}
	b.requests.release(request)
}

// cancelAttempts cancels the attempts in flight of a request other than the given exception, if
// Limits.Cancel permits it. Without an exception, except is nil.
func (b *Balancer) cancelAttempts(request *request, except *attempt) {
	if !b.settings.Limits.Cancel {
		return
	}
	for i := range request.attempts {
		if a := &request.attempts[i]; a.inFlight && a != except {
			b.host.Cancel(request.ID, i)
		}
	}
}
