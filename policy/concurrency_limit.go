package policy

// The adaptive concurrency limit. The capacity of the servers is unknown, so latency indicates congestion.

import (
	"math"
	"time"
)

const (
	initialLimit = 3 // initial limit on the attempts of all nodes per server

	// targetCongestion is the congestion that the limit is adjusted towards. Congestion is the natural
	// logarithm of latency over baseline, so the target is a latency of about 1.35 times the baseline.
	targetCongestion = 0.3

	// limitIncrease is the increase of the limit per smoothed latency while requests are queued: a number of
	// attempts if the regime has an additive increase, and a fraction of the limit otherwise.
	limitIncrease         = 0.025
	initialIncreaseFactor = 6.0 // factor that multiplies the increase until the first congestion

	// limitDecrease is the decrease of the limit, as a fraction of it, per smoothed latency and unit of
	// congestion above the target.
	limitDecrease = 0.1

	peakDeviations     = 2 // standard deviations by which attempts in flight may exceed the limit
	lightLoadPerServer = 3 // attempts of all nodes per server up to which the fleet is lightly loaded

	knownGoodTimeConstant    = time.Minute            // time constant of knownGoodLimit's decay in congestion
	meanInFlightTimeConstant = time.Second            // time constant of meanInFlight
	maxAdjustInterval        = 100 * time.Millisecond // longest time that one adjustment accounts for
)

// concurrencyLimiter limits the attempts in flight of this node.
type concurrencyLimiter struct {
	inFlight           int           // attempts of this node in flight, without unresponsive attempts
	meanInFlight       float64       // exponential moving average of inFlight
	limit              float64       // limit on the attempts of all nodes per server; may be below 1
	knownGoodLimit     float64       // highest recent limit without congestion
	congestionDetected bool          // true from the first congestion; the limit then no longer grows fast
	adjustedAt         time.Duration // time of the last adjustment
}

func newConcurrencyLimiter(nodes int) concurrencyLimiter {
	return concurrencyLimiter{limit: float64(min(initialLimit, nodes))}
}

// startAttempt counts an attempt and records whether its server is unloaded. It must be called before
// server.startAttempt, because the server is no longer idle afterwards.
func (l *concurrencyLimiter) startAttempt(a *attempt, subset *subset) {
	a.unloaded = l.isUnloaded(a.server, subset)
	l.inFlight++
}

// endAttempt removes an attempt that has ended from the count. An unresponsive attempt has already been
// removed.
func (l *concurrencyLimiter) endAttempt(a *attempt) {
	if !a.unresponsive {
		l.inFlight--
	}
}

// markUnresponsive removes an attempt from the count, so that unresponsive servers do not exhaust the limit.
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

// updateMeanInFlight adds the current number of attempts to the moving average, weighted by the time since
// the last call.
func (l *concurrencyLimiter) updateMeanInFlight(elapsed time.Duration) {
	weight := min(elapsed.Seconds()/meanInFlightTimeConstant.Seconds(), 1)
	l.meanInFlight += (float64(l.inFlight) - l.meanInFlight) * weight
}

// adjust adapts the limit on each response. Congestion above the target decreases the limit. Otherwise, the
// limit increases if requests are queued. The change is proportional to the time since the last
// response, measured in smoothed latencies: a change takes effect after one latency, so faster changes
// would oscillate.
func (l *concurrencyLimiter) adjust(
	now time.Duration, latency *latencyEstimator, regime *samplingRegime, waiting int,
) {
	interval := min((now - l.adjustedAt).Seconds(), maxAdjustInterval.Seconds())
	elapsedLatencies := interval / latency.smoothed
	l.adjustedAt = now
	excessCongestion := latency.congestion - targetCongestion
	switch {
	case excessCongestion > 0 && !l.congestionDetected:
		l.congestionDetected = true
		l.limit *= regime.firstCongestionFactor
		l.knownGoodLimit = l.limit
	case excessCongestion > 0:
		l.decrease(excessCongestion, elapsedLatencies, regime)
		l.knownGoodLimit *= 1 - interval/knownGoodTimeConstant.Seconds()
	case waiting > 0:
		l.increase(elapsedLatencies, regime)
	}
}

// decrease lowers the limit in proportion to the congestion above the target and to the time in smoothed
// latencies.
func (l *concurrencyLimiter) decrease(excessCongestion, elapsedLatencies float64, regime *samplingRegime) {
	floor := max(regime.minLimit, regime.knownGoodLimitFraction*l.knownGoodLimit)
	l.limit = max(floor,
		l.limit*(1-limitDecrease*min(excessCongestion, regime.maxExcessCongestion)*elapsedLatencies))
}

// increase raises the limit in proportion to the time in smoothed latencies. With an additive increase, the
// limits of nodes that share servers converge.
func (l *concurrencyLimiter) increase(elapsedLatencies float64, regime *samplingRegime) {
	if !l.congestionDetected {
		elapsedLatencies *= initialIncreaseFactor
	}
	if regime.additiveIncrease {
		l.limit += limitIncrease * elapsedLatencies
	} else {
		l.limit *= 1 + limitIncrease*elapsedLatencies
	}
	l.knownGoodLimit = max(l.knownGoodLimit, l.limit)
}

// serverHasCapacity reports whether a server with the given share of its full capacity may get another
// attempt of this node. An idle server always may.
func (l *concurrencyLimiter) serverHasCapacity(server *server, capacityShare, nodesPerServer float64) bool {
	limit := math.Round(l.limit / nodesPerServer)
	return float64(len(server.inFlight)+1) <= max(1, limit*capacityShare)
}

// nodeHasCapacity reports whether the node may have another attempt in flight. The limit of an undersampled
// node is a few attempts, and random peaks of its arrivals often exceed the limit. Over many nodes, such
// peaks average out. The limit therefore applies to the mean number of attempts in flight, and the peaks
// have a bound of their own. A request of high priority is exempt from the limit on the mean.
func (l *concurrencyLimiter) nodeHasCapacity(request *request, subset *subset, arrivals *arrivalStats) bool {
	limit := l.limit / subset.nodesPerServer * float64(subset.closedBreakers)
	next := float64(l.inFlight + 1)
	if !subset.regime.limitAppliesToMean {
		return next <= max(1, limit)
	}
	maxPeak := limit + peakDeviations*math.Sqrt(limit+1)
	return (l.meanInFlight < limit || arrivals.isHighPriority(request)) && next <= maxPeak
}

// isUnloaded reports whether a server is idle and the fleet lightly loaded, as estimated from this node's
// attempts.
func (l *concurrencyLimiter) isUnloaded(server *server, subset *subset) bool {
	inFlightOfAllNodes := float64(l.inFlight) * subset.nodesPerServer
	return len(server.inFlight) == 0 && inFlightOfAllNodes <= lightLoadPerServer*float64(len(subset.servers))
}
