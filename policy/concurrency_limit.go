package policy

// The adaptive concurrency limit. The capacity of the servers is not known; their latency shows congestion.

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
	peakDeviations        = 2     // standard deviations that a peak may exceed the mean in flight by
	unloadedPerServer     = 3     // attempts per server over all nodes, up to which an idle one is unloaded

	knownGoodTimeConstant    = time.Minute            // of forgetting the good limit under congestion
	meanInFlightTimeConstant = time.Second            // of the mean number of attempts in flight
	maxAdjustInterval        = 100 * time.Millisecond // that one adjustment covers after a pause
)

// concurrencyLimiter limits the attempts in flight of this node.
type concurrencyLimiter struct {
	inFlight       int     // attempts of this node, not counting unresponsive ones
	meanInFlight   float64 // its exponential moving average
	limit          float64 // on all nodes' attempts for each server; may be below 1
	knownGood      float64 // highest recent limit without congestion
	congestionSeen bool    // the limit has left its fast initial growth
	adjustedAt     time.Duration
}

func newConcurrencyLimiter(nodes int) concurrencyLimiter {
	return concurrencyLimiter{limit: float64(min(initialLimit, nodes))}
}

// startAttempt counts an attempt before its server does, and notes whether it has the server to itself.
func (l *concurrencyLimiter) startAttempt(a *attempt, subset *subset) {
	a.unloaded = l.serverUnloaded(a.server, subset)
	l.inFlight++
}

// endAttempt takes an attempt that has ended out of the count.
func (l *concurrencyLimiter) endAttempt(a *attempt) {
	if !a.unresponsive {
		l.inFlight--
	}
}

// markUnresponsive takes an attempt out of the count, or servers that hang would use up the limit.
func (l *concurrencyLimiter) markUnresponsive(a *attempt) {
	if !a.unresponsive {
		a.unresponsive = true
		l.inFlight--
	}
}

func (l *concurrencyLimiter) markAllUnresponsive(attempts []*attempt) {
	for _, a := range attempts {
		l.markUnresponsive(a)
	}
}

func (l *concurrencyLimiter) updateMeanInFlight(elapsed time.Duration) {
	weight := min(elapsed.Seconds()/meanInFlightTimeConstant.Seconds(), 1)
	l.meanInFlight += (float64(l.inFlight) - l.meanInFlight) * weight
}

// adjust adapts the limit on a response, while a number of requests waits for it.
func (l *concurrencyLimiter) adjust(
	now time.Duration, latency *latencyEstimator, regime *samplingRegime, waiting int,
) {
	interval := min((now - l.adjustedAt).Seconds(), maxAdjustInterval.Seconds())
	rounds := interval / latency.smoothed // a change shows after one; faster steps would oscillate
	l.adjustedAt = now
	excess := latency.congestion - targetCongestion
	switch {
	case excess > 0 && !l.congestionSeen:
		l.congestionSeen = true
		l.limit *= regime.firstCongestionFactor
		l.knownGood = l.limit
	case excess > 0:
		l.decrease(excess, rounds, regime)
		l.knownGood *= 1 - interval/knownGoodTimeConstant.Seconds()
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

// hasCapacity reports whether a server that has a share of its full capacity may get one more attempt.
func (l *concurrencyLimiter) hasCapacity(server *server, capacityShare, nodesPerServer float64) bool {
	limit := math.Round(l.limit / nodesPerServer)
	return float64(len(server.inFlight)+1) <= max(1, limit*capacityShare)
}

// nodeHasCapacity reports whether the node may have one more attempt in flight. The limit of an undersampled
// node is a few attempts, which its arrivals exceed by chance: it applies to the mean, as chances even out
// over many nodes, with a bound on the peaks. A request of high priority does not wait for the mean.
func (l *concurrencyLimiter) nodeHasCapacity(request *request, subset *subset, arrivals *arrivalStats) bool {
	limit := l.limit / subset.nodesPerServer * float64(subset.closed)
	next := float64(l.inFlight + 1)
	if !subset.regime.limitAppliesToMean {
		return next <= max(1, limit)
	}
	return (l.meanInFlight < limit || arrivals.isHighPriority(request)) &&
		next <= limit+peakDeviations*math.Sqrt(limit+1)
}

// serverUnloaded reports whether a server is idle and the fleet lightly loaded, judging by this node's
// attempts.
func (l *concurrencyLimiter) serverUnloaded(server *server, subset *subset) bool {
	return len(server.inFlight) == 0 &&
		float64(l.inFlight)*subset.nodesPerServer <= unloadedPerServer*float64(len(subset.servers))
}
