package policy

// The rules that depend on how much of a server's load a node can see.

import (
	"math"
	"time"
)

// undersampledAbove is the number of nodes per server above which a node's own requests are too small a
// sample of the server's load.
const undersampledAbove = 5.0

// samplingRegime holds the constants of the rules that differ between few and many nodes per server.
type samplingRegime struct {
	noResponseThreshold  int           // consecutive missing responses or connections that open a breaker
	slowResponseMultiple float64       // of the baseline latency, above which a response counts as a failure
	maxOutcomeAge        time.Duration // age from which an outcome no longer counts for the scores

	limitAppliesToMean     bool    // the node's limit holds for the mean number of attempts in flight
	additiveIncrease       bool    // the concurrency limit grows by steps instead of by a factor
	firstCongestionFactor  float64 // on the concurrency limit when congestion shows for the first time
	maxExcessCongestion    float64 // most congestion above the target that counts in one adjustment
	minLimit               float64 // least concurrency limit for each server
	knownGoodLimitFraction float64 // of the known good limit, below which the concurrency limit does not fall

	queuesPastObjective bool    // a request of high weight may wait beyond its latency objective
	sheddingMargin      float64 // of the expected latency that must be left before the latency objective
	refundsQuotaToken   bool    // a rejected request returns its token to the quota of its tenant
}

// regimeFor returns the regime for a mean number of nodes that use each server. It is the only place that
// chooses between them:
//
//	                                           well sampled           undersampled
//	nodes per server                           5 at most              more than 5
//	missing responses that open a breaker      5, as other failures   2
//	a response counts as a failure             never                  above 5 x its baseline latency
//	outcomes count for                         10 s                   4 s
//	the limit of the node holds for            attempts in flight     their mean; peaks are bounded, and a
//	                                                                  high priority does not wait for it
//	the concurrency limit grows                by a factor            by steps
//	the first congestion reduces the limit     not at all             to 0.6 of it
//	congestion that counts in one adjustment   0.2                    1.0
//	the limit for each server is at least      1, and 0.9 of the      0.5
//	                                           last good limit
//	a queued request must be served by         its objective          its deadline, if late it still has
//	                                                                  the mean weight, else its objective
//	expected latencies left to the objective   1                      2.5
//	a rejected request returns its token       no                     yes
//
// An undersampled node meets each server rarely and does not see the congestion that the other nodes cause.
// Its thresholds are therefore low and its adjustments large, and its limits lead nodes that share servers
// to equal parts.
func regimeFor(nodesPerServer float64) samplingRegime {
	if nodesPerServer > undersampledAbove {
		return undersampled()
	}
	return wellSampled()
}

func wellSampled() samplingRegime {
	return samplingRegime{
		noResponseThreshold:  math.MaxInt, // missing responses count like other failures
		slowResponseMultiple: math.Inf(1),
		maxOutcomeAge:        10 * time.Second,

		firstCongestionFactor:  1,
		maxExcessCongestion:    0.2,
		minLimit:               1,
		knownGoodLimitFraction: 0.9, // a fleet that is slow as a whole looks congested

		sheddingMargin: 1,
	}
}

func undersampled() samplingRegime {
	return samplingRegime{
		noResponseThreshold:  2, // five would take seconds, while all nodes fill the server's queue
		slowResponseMultiple: 5,
		maxOutcomeAge:        4 * time.Second, // many nodes move a server's load within seconds

		limitAppliesToMean:    true,
		additiveIncrease:      true,
		firstCongestionFactor: 0.6, // congestion shows late
		maxExcessCongestion:   1,   // adjustments are rare
		minLimit:              0.5, // below one request, congested servers recover

		queuesPastObjective: true,
		sheddingMargin:      2.5, // the queues of other nodes are not seen
		refundsQuotaToken:   true,
	}
}
