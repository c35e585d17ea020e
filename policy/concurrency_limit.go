package policy

// The adaptive concurrency limit. The capacity of the servers is not known; their latency shows congestion.

import (
	"math"
	"time"
)

const (
	initialLimit          = 3     // attempts for each server
	targetCongestion      = 0.3   // logarithm of latency over baseline that the limit steers to
	limitIncrease         = 0.025 // in one smoothed latency, while requests wait for the limit
	initialIncreaseFactor = 6.0   // on the increase until congestion shows for the first time
	limitDecrease         = 0.1   // in one smoothed latency, for each unit of congestion above the target
	peakDeviations        = 2     // standard deviations by which the attempts in flight may exceed the limit
	unloadedPerServer     = 3     // attempts per server over all nodes up to which an idle server is unloaded

	knownGoodTimeConstant    = time.Minute            // of the decay of the known good limit under congestion
	meanInFlightTimeConstant = time.Second            // of the mean number of attempts in flight
	maxAdjustInterval        = 100 * time.Millisecond // longest time that one adjustment makes up for
)

// concurrencyLimiter limits the attempts in flight of this node.
type concurrencyLimiter struct {
	inFlight       int     // attempts of this node, not counting unresponsive ones
	meanInFlight   float64 // its exponential moving average
	limit          float64 // of all nodes' attempts for each server; may be below 1
	knownGoodLimit float64 // highest recent limit without congestion
	congestionSeen bool    // the limit has left its fast initial growth
	adjustedAt     time.Duration
}

func newConcurrencyLimiter(nodes int) concurrencyLimiter {
	return concurrencyLimiter{limit: float64(min(initialLimit, nodes))}
}

// startAttempt counts an attempt and records whether it has its server to itself. It must be called before
// server.startAttempt, as the server is no longer idle afterwards.
func (l *concurrencyLimiter) startAttempt(a *attempt, subset *subset) {
	a.unloaded = l.serverUnloaded(a.server, subset)
	l.inFlight++
}

// endAttempt takes an attempt that has ended out of the count, unless it is unresponsive and was taken out
// before.
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

// markAllUnresponsive calls markUnresponsive for each of the attempts.
func (l *concurrencyLimiter) markAllUnresponsive(attempts []*attempt) {
	for _, a := range attempts {
		l.markUnresponsive(a)
	}
}

// updateMeanInFlight adds the present number of attempts to the moving average, for the time since the last
// call.
func (l *concurrencyLimiter) updateMeanInFlight(elapsed time.Duration) {
	weight := min(elapsed.Seconds()/meanInFlightTimeConstant.Seconds(), 1)
	l.meanInFlight += (float64(l.inFlight) - l.meanInFlight) * weight
}

// adjust adapts the limit on each response: congestion above the target decreases it, and otherwise it
// increases if requests wait. The change is proportional to the time since the last response, in smoothed
// latencies: a change shows after one of them, and faster steps would oscillate.
func (l *concurrencyLimiter) adjust(
	now time.Duration, latency *latencyEstimator, regime *samplingRegime, waiting int,
) {
	interval := min((now - l.adjustedAt).Seconds(), maxAdjustInterval.Seconds())
	elapsedLatencies := interval / latency.smoothed
	l.adjustedAt = now
	excessCongestion := latency.congestion - targetCongestion
	switch {
	case excessCongestion > 0 && !l.congestionSeen:
		l.congestionSeen = true
		l.limit *= regime.firstCongestionFactor
		l.knownGoodLimit = l.limit
	case excessCongestion > 0:
		l.decrease(excessCongestion, elapsedLatencies, regime)
		l.knownGoodLimit *= 1 - interval/knownGoodTimeConstant.Seconds()
	case waiting > 0:
		l.increase(elapsedLatencies, regime)
	}
}

// decrease lowers the limit for congestion above the target that lasted for a number of smoothed latencies.
func (l *concurrencyLimiter) decrease(excessCongestion, elapsedLatencies float64, regime *samplingRegime) {
	floor := max(regime.minLimit, regime.knownGoodLimitFraction*l.knownGoodLimit)
	l.limit = max(floor,
		l.limit*(1-limitDecrease*min(excessCongestion, regime.maxExcessCongestion)*elapsedLatencies))
}

// increase raises the limit for a number of smoothed latencies without congestion. An additive increase
// leads nodes that share servers to equal limits.
func (l *concurrencyLimiter) increase(elapsedLatencies float64, regime *samplingRegime) {
	if !l.congestionSeen {
		elapsedLatencies *= initialIncreaseFactor
	}
	if regime.additiveIncrease {
		l.limit += limitIncrease * elapsedLatencies
	} else {
		l.limit *= 1 + limitIncrease*elapsedLatencies
	}
	l.knownGoodLimit = max(l.knownGoodLimit, l.limit)
}

// hasCapacity reports whether a server that has a share of its full capacity may get one more attempt.
func (l *concurrencyLimiter) hasCapacity(server *server, capacityShare, nodesPerServer float64) bool {
	limit := math.Round(l.limit / nodesPerServer)
	return float64(len(server.inFlight)+1) <= max(1, limit*capacityShare)
}

// nodeHasCapacity reports whether the node may have one more attempt in flight. An undersampled node has a
// limit of a few attempts, and by chance its arrivals often exceed that. Over many nodes such peaks even
// out. The limit therefore applies to the mean number of attempts in flight, and the peaks are bounded apart
// from it. A request of high priority does not wait for the mean.
func (l *concurrencyLimiter) nodeHasCapacity(request *request, subset *subset, arrivals *arrivalStats) bool {
	limit := l.limit / subset.nodesPerServer * float64(subset.closed)
	next := float64(l.inFlight + 1)
	if !subset.regime.limitAppliesToMean {
		return next <= max(1, limit)
	}
	maxPeak := limit + peakDeviations*math.Sqrt(limit+1)
	return (l.meanInFlight < limit || arrivals.isHighPriority(request)) && next <= maxPeak
}

// serverUnloaded reports whether a server is idle and the fleet lightly loaded, judging by this node's
// attempts.
func (l *concurrencyLimiter) serverUnloaded(server *server, subset *subset) bool {
	inFlightOfAllNodes := float64(l.inFlight) * subset.nodesPerServer
	return len(server.inFlight) == 0 && inFlightOfAllNodes <= unloadedPerServer*float64(len(subset.servers))
}
