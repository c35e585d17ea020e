package policy

// The path of a request through the concerns: from the queue to a server, or to its termination.

import "time"

// refresh brings the subset, the scores and all other estimates up to date. It does so once for all calls
// with the same time, unless they have become outdated since.
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

// dispatch sends queued requests while servers have capacity, or terminates them if every breaker is open.
func (b *Balancer) dispatch(now time.Duration) {
	if len(b.queue.waiting) == 0 {
		return
	}
	b.refresh(now)
	noCapacity := false // for a first attempt, so that the requests behind it are not tried
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
		// A first attempt may go to any ready server. A retry may be bound to the scope of its key, and does
		// not stand for the requests behind it.
		isFirstAttempt := len(request.attempts) == 0
		noCapacity = noCapacity || isFirstAttempt
		return false
	})
}

// sendIfCapacity sends a queued request if a server has capacity, and reports whether it did.
func (b *Balancer) sendIfCapacity(now time.Duration, request *request) bool {
	server := b.selectServer(now, request)
	if server == nil {
		return false
	}
	b.queue.markRemoved(request)
	b.send(now, request, server)
	return true
}

// shedLoad terminates queued requests that cannot be served in time; dispatch drops the completed ones.
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

// selectServer returns a server for the next attempt, or nil if no server has capacity. One that awaits
// its trial comes first. Otherwise a first attempt gets the better of two random candidates, and a retry or
// hedged request the best of all.
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

// collectCandidates collects the servers that may get the next attempt. It stops at the first server that
// gets the attempt as its trial. It refills the slow start budgets of the servers that the retry policy
// permits.
func (b *Balancer) collectCandidates(now time.Duration, request *request) {
	b.candidates.reset()
	work := request.baselineLatency()
	for _, s := range b.subset.servers {
		if s.breaker.state == breakerOpen || request.hasTried(s) || !b.retry.permits(now, request, s) {
			continue
		}
		b.slowStart.refillBudget(now, s, work, &b.subset, &b.arrivals)
		if !b.slowStart.admits(now, s) {
			continue
		}
		share := s.capacityShare(&b.settings.Rules, now)
		if s.breaker.state == breakerClosed && b.limiter.hasCapacity(s, share, b.subset.nodesPerServer) {
			b.candidates.closed = append(b.candidates.closed, s)
		} else if s.breaker.acceptsTrial(now, request.class.Idempotency) {
			b.candidates.trial = s
			return
		}
	}
}

// send starts an attempt that retryPolicy and slowStart permit.
func (b *Balancer) send(now time.Duration, request *request, server *server) {
	b.startAttempt(now, request, server)
	b.slowStart.recordSend(now, server, request.baselineLatency())
	b.host.Send(request.ID, server.Server, 0)
}

// startAttempt counts a new attempt for its request, its server and the limit.
func (b *Balancer) startAttempt(now time.Duration, request *request, server *server) {
	attempt := request.startAttempt(now, server)
	b.limiter.startAttempt(attempt, &b.subset)
	server.startAttempt(attempt)
}

// scheduleRetry starts the backoff before a retry, or terminates the request if no retry fits.
func (b *Balancer) scheduleRetry(now time.Duration, request *request) {
	retryAt := now + b.retry.jitteredBackoff(request)
	if !b.retry.permitsRetryAt(retryAt, request, request.expectedLatency(b.means.relativeLatency)) {
		b.rejectOrFail(request)
		return
	}
	request.startBackoff(retryAt)
	b.checkTimer.scheduleBy(now + checkInterval)
}

// rejectOrFail rejects a request, or fails it if it may have been executed and must not be again.
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

// complete releases a request and cancels its attempts in flight. A completed request may be passed again.
func (b *Balancer) complete(request *request) {
	if !request.completed {
		b.cancelAttempts(request, nil)
	}
	b.requests.release(request)
}

// cancelAttempts cancels the attempts in flight of a request, where permitted, except for one that may be
// nil.
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
