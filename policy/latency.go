package policy

// The expected latency, from the baseline: the latency of requests that had a server to themselves.

import (
	"math"
	"time"

	"calicohinge/internal/runningmean"
)

const (
	maxLatencySamples  = 400   // over which a class's latencies are averaged
	startupSamples     = 12    // taken into a class's baseline whatever the congestion, to correct its guess
	maxServerSamples   = 16    // over which a server's baseline is averaged
	maxCostHintSamples = 64    // over which a class's cost hints are averaged
	minRelativeWork    = 0.25  // by a cost hint, which is a rough estimate
	maxRelativeWork    = 4     // by a cost hint
	unloadedPerServer  = 3     // attempts per server over all nodes, up to which an idle one is unloaded
	minBaseline        = 0.001 // seconds, so that multiples of the baseline stay finite
	minLatency         = 1e-4  // seconds, so that logarithms stay finite
)

// requestClass is a class with what was measured of its requests, in seconds.
type requestClass struct {
	Class                         // with Objective set
	baseline     runningmean.Mean // latency of an unloaded request of mean work
	workEstimate runningmean.Mean // latency of all served requests; 1 with Settings.WeightByWork
	costHint     runningmean.Mean
}

func newRequestClass(class Class, weightByWork bool) requestClass {
	if class.Objective == 0 {
		class.Objective = class.Deadline
	}
	measured := requestClass{Class: class, costHint: runningmean.New(maxCostHintSamples)}
	measured.baseline = runningmean.NewWithGuess(class.Objective.Seconds()/4, maxLatencySamples)
	measured.workEstimate = measured.baseline
	if weightByWork {
		measured.workEstimate = runningmean.NewWithGuess(1, maxLatencySamples)
	}
	return measured
}

// recordLatency takes the latency of a served request, in seconds.
func (b *Balancer) recordLatency(attempt *attempt, request *request, latency float64) {
	b.limiter.smoothedLatency += (latency - b.limiter.smoothedLatency) / latencySmoothing
	if !b.settings.WeightByWork {
		request.class.workEstimate.Add(latency) // by all responses: unloaded ones are rare in a busy fleet
	}
	class, congestion := request.class, b.limiter.congestion
	if attempt.unloaded && (class.baseline.Samples() < startupSamples || congestion < targetCongestion/2) {
		// More than a third of the objective is an outlier, which would hide congestion.
		class.baseline.Add(min(latency/request.relativeWork(), class.Objective.Seconds()/3))
	}
	offset := math.Log(max(latency, minLatency) / (class.baseline.Value() * request.relativeWork()))
	if attempt.unloaded && congestion < targetCongestion {
		// The more nodes use the server, the more a sample may be due to their load.
		attempt.server.baseline.AddWithPrior(offset, b.subset.nodesPerServer)
	}
	b.limiter.congestion += (offset - attempt.server.baseline.Value() - congestion) / congestionSmoothing
}

// isUnloaded reports whether a server is idle and the fleet lightly loaded, judging by this node's attempts.
func (b *Balancer) isUnloaded(server *server) bool {
	return len(server.inFlight) == 0 && float64(b.limiter.inFlight)*b.subset.nodesPerServer <=
		unloadedPerServer*float64(len(b.subset.servers))
}

// relativeWork returns the request's work as a multiple of its class's mean, 1 without a cost hint.
func (r *request) relativeWork() float64 {
	mean := r.class.costHint.Value()
	if r.CostHint <= 0 || mean <= 0 {
		return 1
	}
	return min(max(r.CostHint.Seconds()/mean, minRelativeWork), maxRelativeWork)
}

// baselineLatency returns the latency of the request without load, in seconds.
func (r *request) baselineLatency() float64 {
	return r.class.baseline.Value()*r.relativeWork() + minBaseline
}

// expectedLatency returns the latency of the request under the current load.
func (b *Balancer) expectedLatency(request *request) time.Duration {
	return time.Duration(request.baselineLatency() * b.means.relativeLatency * float64(time.Second))
}
