package policy

import (
	"math"
	"time"
)

const (
	// crowdingGoal is the congestion that the limit steers to: the logarithm of latency over baseline.
	targetCongestion = 0.3
	// limitUp is the growth of the limit in one smoothed latency while requests wait for it.
	limitIncrease = 0.025
	// startFaster multiplies that growth until congestion shows for the first time.
	initialIncreaseFactor = 6.0
	// limitDown is the decrease in one smoothed latency for each unit of excess congestion.
	limitDecrease = 0.1
	// restLimit is the floor in requests a server on an undersampled node: below one, servers recover.
	undersampledLimitFloor = 0.5
	// limitFor is the time constant, in seconds, with which a limit known to be good is forgotten.
	knownGoodDecaySeconds = 60.0
	// meanOutSpan is the time constant, in seconds, of the mean number of attempts in flight.
	meanInFlightSeconds = 1.0
	// precious is the multiple of the mean priority weight from which a request is exempt from that mean.
	highPriorityMultiple = 2.0
)

// adjustLimit moves the concurrency limit, the bound on requests in flight. What a server can
// hold is told nowhere, but crowding shows: requests take longer than lone ones. The limit grows
// while requests wait for it and no crowd shows, and shrinks in a crowd; but not much below what
// was good lately, since a fleet that is slow as a whole looks the same.
func (b *Balancer) adjustLimit(now time.Duration) {
	seconds := min((now - b.adjustedAt).Seconds(), 0.1)
	rounds := seconds / b.typical // answers come back once a round; faster steps would swing
	b.adjustedAt = now
	excess := b.crowding - targetCongestion
	switch {
	case excess > 0 && !b.crowded: // the start's fast growth went too far
		b.crowded = true
		if b.undersampled() {
			b.limit *= 0.6 // and answers tell it late
		}
		b.limitKnown = b.limit
	case excess > 0:
		least, step := max(1, 0.9*b.limitKnown), 0.2
		if b.undersampled() {
			least, step = undersampledLimitFloor, 1
		}
		b.limit = max(least, b.limit*(1-limitDecrease*min(excess, step)*rounds))
		b.limitKnown *= 1 - seconds/knownGoodDecaySeconds
	case len(b.queue) > 0:
		if !b.crowded {
			rounds *= initialIncreaseFactor
		}
		if b.undersampled() { // by steps: nodes that share servers come to equal parts of them
			b.limit += limitIncrease * rounds
		} else {
			b.limit *= 1 + limitIncrease*rounds
		}
		b.limitKnown = max(b.limitKnown, b.limit)
	}
}

// average brings the mean of the requests in flight up to date.
func (b *Balancer) updateMeanInFlight(now time.Duration) {
	b.meanOut += (float64(b.out) - b.meanOut) * min((now-b.meanAt).Seconds()/meanInFlightSeconds, 1)
	b.meanAt = now
}

// room tells whether a server is below the bound on own requests in flight.
func (b *Balancer) hasCapacity(s *server, now time.Duration) bool {
	return float64(len(s.inFlight)+1) <= max(1, math.Round(b.limit/b.nodesPerServer)*b.capacityShare(s, now))
}

// mayAdd tells whether the node may have one more request in flight. Where many share
// the servers, a node's bound is a few requests or less, which its own arrivals overstep
// by chance: its mean is held to the bound, since the chances of many nodes even out.
func (b *Balancer) nodeLimitAdmits(r *request, bound float64) bool {
	if !b.undersampled() {
		return float64(b.out+1) <= max(1, bound)
	}
	// What is worth most does not wait for the mean, which makes room at the others' expense.
	return (b.meanOut < bound || r.weight > highPriorityMultiple*b.meanWeight*r.class.workPerRequest) &&
		float64(b.out+1) <= bound+2*math.Sqrt(bound+1)
}

// silence frees the room of an attempt whose answer hardly comes, or hangs would stop all sends.
func (b *Balancer) markUnresponsive(a *attempt) {
	if !a.unresponsive {
		a.unresponsive = true
		b.out--
	}
}
