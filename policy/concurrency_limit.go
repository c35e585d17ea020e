package policy

// The adaptive concurrency limit: no server tells its capacity, but its latency shows congestion.

import (
	"math"
	"time"
)

const (
	initialLimit          = 3     // for each server, until congestion shows
	targetCongestion      = 0.3   // logarithm of latency over baseline that the limit steers to
	limitIncrease         = 0.025 // in one smoothed latency, while requests wait for the limit
	initialIncreaseFactor = 6.0   // on the increase until congestion shows for the first time
	limitDecrease         = 0.1   // in one smoothed latency, for each unit of congestion above the target
	knownGoodDecaySeconds = 60.0  // time constant of forgetting the good limit under congestion
	meanInFlightSeconds   = 1.0   // time constant of the mean number of attempts in flight
	highPriorityMultiple  = 2.0   // of the mean weight: from it a request does not wait for that number
	maxAdjustSeconds      = 0.1   // that one adjustment covers after a pause
	latencySmoothing      = 64    // responses
	congestionSmoothing   = 32    // responses
)

// concurrencyLimiter holds the limit and the measurements that it follows.
type concurrencyLimiter struct {
	inFlight        int     // attempts of this node, not counting unresponsive ones
	meanInFlight    float64 // its exponential moving average
	limit           float64 // on all nodes' attempts for each server; may be below 1
	knownGood       float64 // highest recent limit without congestion
	congestionSeen  bool    // the limit has left its fast initial growth
	congestion      float64 // smoothed logarithm of latency over the baseline at the same server
	smoothedLatency float64 // seconds
	adjustedAt      time.Duration
}

func (l *concurrencyLimiter) adjustOnResponse(now time.Duration, regime *samplingRegime, waiting int) {
	seconds := min((now - l.adjustedAt).Seconds(), maxAdjustSeconds)
	rounds := seconds / l.smoothedLatency // a change shows after one; faster steps would oscillate
	l.adjustedAt = now
	excess := l.congestion - targetCongestion
	switch {
	case excess > 0 && !l.congestionSeen:
		l.congestionSeen = true
		l.limit *= regime.firstCongestionFactor
		l.knownGood = l.limit
	case excess > 0:
		l.decrease(excess, rounds, regime)
		l.knownGood *= 1 - seconds/knownGoodDecaySeconds
	case waiting > 0:
		l.increase(rounds, regime)
	}
}

func (l *concurrencyLimiter) decrease(excess, rounds float64, regime *samplingRegime) {
	floor := max(regime.minLimit, regime.knownGoodLimitFraction*l.knownGood)
	l.limit = max(floor, l.limit*(1-limitDecrease*min(excess, regime.maxExcess)*rounds))
}

// increase raises the limit. An additive increase leads nodes that share servers to equal limits.
func (l *concurrencyLimiter) increase(rounds float64, regime *samplingRegime) {
	if !l.congestionSeen {
		rounds *= initialIncreaseFactor
	}
	if regime.additiveIncrease {
		l.limit += limitIncrease * rounds
	} else {
		l.limit *= 1 + limitIncrease*rounds
	}
	l.knownGood = max(l.knownGood, l.limit)
}

func (l *concurrencyLimiter) updateMeanInFlight(elapsed time.Duration) {
	l.meanInFlight += (float64(l.inFlight) - l.meanInFlight) * min(elapsed.Seconds()/meanInFlightSeconds, 1)
}

// markUnresponsive takes an attempt out of the count, or servers that hang would use up the limit.
func (l *concurrencyLimiter) markUnresponsive(attempt *attempt) {
	if !attempt.unresponsive {
		attempt.unresponsive = true
		l.inFlight--
	}
}

func (l *concurrencyLimiter) markAllUnresponsive(server *server) {
	for _, a := range server.inFlight {
		l.markUnresponsive(a)
	}
}

func (b *Balancer) hasCapacity(server *server, now time.Duration) bool {
	limit := math.Round(b.limiter.limit / b.subset.nodesPerServer)
	return float64(len(server.inFlight)+1) <= max(1, limit*server.capacityShare(&b.settings.Rules, now))
}

// nodeLimitAdmits reports whether the node may have one more attempt in flight. The limit of an undersampled
// node is a few attempts, which its arrivals exceed by chance: it applies to the mean, as chances even out
// over many nodes, with a bound on the peaks. A request of high priority does not wait for the mean.
func (b *Balancer) nodeLimitAdmits(request *request) bool {
	limit := b.limiter.limit / b.subset.nodesPerServer * float64(b.subset.closed)
	next := float64(b.limiter.inFlight + 1)
	if !b.subset.regime.limitAppliesToMean {
		return next <= max(1, limit)
	}
	highPriority := request.weight >
		highPriorityMultiple*b.arrivalWeight.Value()*request.class.workEstimate.Value()
	return (b.limiter.meanInFlight < limit || highPriority) && next <= limit+2*math.Sqrt(limit+1)
}
