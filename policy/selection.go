package policy

import (
	"time"
)

const (
	// outcomesKept is the number of latest outcomes that a server is judged by.
	outcomesPerServer = 100
	// outcomesFor is how long an outcome counts; once it expires, an avoided server is tried again.
	maxOutcomeAge = 10 * time.Second
	// outcomesSparse replaces it where many nodes move a server's load within seconds.
	maxOutcomeAgeUndersampled = 4 * time.Second
	// priorOutcomes is the weight of the mean over all servers beside a server's own outcomes.
	priorOutcomes = 3.0
	// successPart and latencyPart are the weights of the two parts of the score.
	successWeight = 0.7
	latencyWeight = 0.3
	// nearTie is the difference of scores up to which the attempts in flight decide.
	scoreTieMargin = 0.1
)

// memory is how long an outcome counts.
func (b *Balancer) outcomeRetention() time.Duration {
	if b.undersampled() {
		return maxOutcomeAgeUndersampled
	}
	return maxOutcomeAge
}

// estimate updates a server's success rate and latency from its own outcomes and the means over all
// servers, which count as priorOutcomes of them.
func (s *server) estimate(meanSuccess, meanLatency float64) {
	all, successes := float64(s.outcomes.Len()), float64(s.outcomes.Successes())
	s.successRate = (successes + priorOutcomes*meanSuccess) / (all + priorOutcomes)
	s.relativeLatency = (s.outcomes.LatencySum() + priorOutcomes*meanLatency) / (successes + priorOutcomes)
}

// tally drops outcomes that are too old and sums up the rest over the fleet.
func (b *Balancer) updateMeans(now time.Duration) {
	kept, good, latency := 0, 0, 0.0
	b.warm = 0
	for _, s := range b.subset {
		s.outcomes.Expire(now, b.outcomeRetention())
		if s.breaker == breakerClosed && b.capacityShare(s, now) >= 1 {
			b.warm++
		}
		kept += s.outcomes.Len()
		good += s.outcomes.Successes()
		latency += s.outcomes.LatencySum()
	}
	if kept > 0 {
		b.meanSuccess = float64(good) / float64(kept)
	}
	if good > 0 {
		b.meanLatency = latency / float64(good)
	}
}

// judge takes an outcome into the server's health. A restarted server is not
// judged by what its former process was sent.
func (b *Balancer) recordOutcome(now time.Duration, r *request, a *attempt, o Outcome) {
	s := a.server
	if a.sentAt < s.StartedAt {
		return
	}
	latency := o.Latency.Seconds() / b.baselineLatency(r)
	switch o.Status {
	case OK:
		s.outcomes.Add(now, true, latency)
		if latency > slowResponseMultiple && b.undersampled() { // congested: it needs to recover
			b.recordFailure(now, a, Timeout)
		} else {
			s.recordSuccess(now, a)
		}
		b.recordLatency(a, r, o.Latency.Seconds())
		b.adjustLimit(now)
	case ServerError, Reset, ConnectFailed:
		s.outcomes.Add(now, false, latency)
		b.recordFailure(now, a, o.Status)
	case Timeout:
		// Shorter ones come of impatient clients. The measure is a lone request's latency: the mean
		// rises with every jammed server, until no client waits long enough to count against one.
		if !a.unresponsive && latency > unresponsiveMultiple {
			s.outcomes.Add(now, false, latency)
			b.recordFailure(now, a, Timeout)
		}
	case Rejected: // without a mark on its score a full server would go on being picked
		s.outcomes.Add(now, false, latency)
	}
	if s.trial == a {
		s.trial = nil // no verdict: the next request is the trial
	}
}

// pick chooses a server for the next attempt, or nil: a half-open server that
// awaits its trial, else the better of two random closed servers for a first
// send and the best other closed server for a further one.
func (b *Balancer) selectServer(now time.Duration, r *request) *server {
	b.refresh(now)
	b.choices = b.choices[:0]
	for _, s := range b.subset {
		if s.breaker == breakerOpen || r.hasTried(s) || !b.attemptPermitted(now, r, s) {
			continue
		}
		if s.breaker == breakerClosed && b.hasCapacity(s, now) {
			b.choices = append(b.choices, s)
		} else if s.breaker == breakerHalfOpen && s.trial == nil &&
			// One that is not idempotent is the trial only when no other came.
			(r.class.Idempotency != NotIdempotent || now > s.halfOpenAt+s.openDuration) {
			return s
		}
	}
	n := len(b.choices)
	if n == 0 || !b.nodeLimitAdmits(r, b.limit/b.nodesPerServer*float64(b.closed)) {
		return nil
	}
	if len(r.attempts) == 0 && n > 2 {
		i := b.random.IntN(n)
		j := (i + 1 + b.random.IntN(n-1)) % n
		return betterServer(b.choices[i], b.choices[j])
	}
	best := b.choices[0]
	for _, s := range b.choices[1:] {
		best = betterServer(best, s)
	}
	return best
}

// better compares by score; near-ties go to fewer own in flight, equal ones to this zone.
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
