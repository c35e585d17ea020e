package policy

// The parameters that depend on how much of a server's load a node observes.

import (
	"math"
	"time"
)

// maxWellSampledNodesPerServer is the largest number of nodes per server at which the requests of a single
// node are a sufficient sample of the server's load.
const maxWellSampledNodesPerServer = 5.0

// samplingRegime holds the parameters that differ between few and many nodes per server.
type samplingRegime struct {
	// noResponseThreshold is the number of consecutive failures that open a breaker if the last of them is
	// a timeout or a failed connection.
	noResponseThreshold int

	slowResponseMultiple float64       // multiple of the baseline latency; slower responses count as failures
	maxOutcomeAge        time.Duration // age at which an outcome no longer counts for the scores

	limitAppliesToMean    bool    // the node's limit applies to the mean number of attempts in flight
	additiveIncrease      bool    // the concurrency limit increases by steps instead of by a factor
	firstCongestionFactor float64 // factor that multiplies the concurrency limit at the first congestion
	maxExcessCongestion   float64 // upper bound of the congestion above the target in one adjustment
	minLimit              float64 // minimum concurrency limit, in attempts of all nodes per server

	// knownGoodLimitFraction is the fraction of knownGoodLimit below which congestion does not reduce the
	// limit.
	knownGoodLimitFraction float64

	queuesPastObjective bool    // a request of high weight may be queued past its latency objective
	sheddingMargin      float64 // multiple of the expected latency that must remain until the objective
	refundsQuotaToken   bool    // a rejected or failed request returns its token to its tenant's quota
}

// regimeFor returns the regime for a mean number of nodes that use each server. It is the only place that
// selects the regime:
//
//	                                           well sampled           undersampled
//	nodes per server                           5 at most              more than 5
//	missing responses that open a breaker      5, like any failure    2
//	a slow response counts as a failure        never                  above 5 x its baseline latency
//	outcomes count for                         10 s                   4 s
//	the limit of the node applies to           attempts in flight     their mean, except for requests of
//	                                                                  high priority; peaks have a bound
//	the concurrency limit increases            by a factor            by steps
//	the first congestion reduces the limit     not at all             to 0.6 of it
//	congestion counted in one adjustment       at most 0.2            at most 1.0
//	the limit for each server is at least      1, and 0.9 of the      0.5
//	                                           known good limit
//	a queued request must be served by         its objective          its deadline if its late weight is at
//	                                                                  least the mean, else its objective
//	expected latencies left to the objective   1                      2.5
//	an unserved request returns its token      no                     yes
//
// An undersampled node rarely uses each server and cannot measure the congestion that the other nodes
// cause. Its thresholds are therefore low and its adjustments large, and its limits converge to equal
// shares among the nodes that share servers.
func regimeFor(nodesPerServer float64) samplingRegime {
	if nodesPerServer > maxWellSampledNodesPerServer {
		return undersampled()
	}
	return wellSampled()
}

func wellSampled() samplingRegime {
	return samplingRegime{
		noResponseThreshold:  math.MaxInt, // missing responses count like any failure
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
		noResponseThreshold:  2, // 5 failures would take seconds, while all nodes fill the server's queue
		slowResponseMultiple: 5,
		maxOutcomeAge:        4 * time.Second, // many nodes change a server's load within seconds

		limitAppliesToMean:    true,
		additiveIncrease:      true,
		firstCongestionFactor: 0.6, // congestion is detected late
		maxExcessCongestion:   1,   // adjustments are rare
		minLimit:              0.5, // a congested server recovers at less than one request

		queuesPastObjective: true,
		sheddingMargin:      2.5, // the queues of other nodes are not known
		refundsQuotaToken:   true,
	}
}
