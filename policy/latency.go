package policy

// The estimates of latency and congestion. They are relative to the baseline, which is the latency of
// unloaded requests: requests to an idle server of a lightly loaded fleet.

import (
	"math"
	"time"

	"calicohinge/internal/runningmean"
)

const (
	maxLatencySamples = 400 // samples over which a class's latencies are averaged

	// startupSamples is the number of first samples that count for a class's baseline despite congestion, to
	// correct the guessed baseline.
	startupSamples = 12

	maxServerSamples    = 16 // samples over which a server's baseline is averaged
	maxCostHintSamples  = 64 // samples over which a class's cost hints are averaged
	latencySmoothing    = 64 // responses over which the latency is smoothed
	congestionSmoothing = 32 // responses over which the congestion is smoothed

	minRelativeWork = 0.25 // lower bound of the relative work, because cost hints are rough estimates
	maxRelativeWork = 4    // upper bound of the relative work, because cost hints are rough estimates

	initialBaselineFraction = 1.0 / 4              // guessed baseline of a class, fraction of its objective
	maxBaselineCongestion   = targetCongestion / 2 // congestion below which class baselines are updated
	baselineCapDivisor      = 3                    // caps samples at a third of the class's objective

	minBaseline = time.Millisecond       // added to every baseline; keeps multiples of the baseline finite
	minLatency  = 100 * time.Microsecond // lower bound of a latency in a logarithm; keeps it finite
)

// requestClass is a class and the measurements of its requests, in seconds.
type requestClass struct {
	Class                         // Objective is never 0
	baseline     runningmean.Mean // latency of an unloaded request of mean work
	workEstimate runningmean.Mean // latency of all served requests; constant 1 with Settings.WeightByWork
	costHint     runningmean.Mean // cost hint of the requests that have a hint
	weightByWork bool             // Settings.WeightByWork
}

func newRequestClass(class Class, settings *Settings) requestClass {
	if class.Objective == 0 {
		class.Objective = class.Deadline
	}
	initialBaseline := class.Objective.Seconds() * initialBaselineFraction
	baseline := runningmean.NewWithInitial(initialBaseline, maxLatencySamples)
	workEstimate := baseline
	if settings.WeightByWork {
		workEstimate = runningmean.NewWithInitial(1, maxLatencySamples)
	}
	return requestClass{
		Class:        class,
		baseline:     baseline,
		workEstimate: workEstimate,
		costHint:     runningmean.New(maxCostHintSamples),
		weightByWork: settings.WeightByWork,
	}
}

// recordCostHint records the cost hint of an arrival; 0 means none.
func (c *requestClass) recordCostHint(hint time.Duration) {
	if hint > 0 {
		c.costHint.Add(hint.Seconds())
	}
}

// recordWork records the latency of a response, in seconds, for the estimate of the work. All responses
// count, because unloaded responses are too rare in a busy fleet.
func (c *requestClass) recordWork(latency float64) {
	if !c.weightByWork {
		c.workEstimate.Add(latency)
	}
}

// recordUnloaded records the latency of an unloaded request, in seconds and scaled to mean work. The
// latency is capped, because latencies close to the objective are outliers that would hide congestion.
func (c *requestClass) recordUnloaded(latency, congestion float64) {
	if c.baseline.Samples() < startupSamples || congestion < maxBaselineCongestion {
		c.baseline.Add(min(latency, c.Objective.Seconds()/baselineCapDivisor))
	}
}

// relativeWork returns the request's work as a multiple of its class's mean. It is 1 without a cost hint.
func (r *request) relativeWork() float64 {
	mean := r.class.costHint.Value()
	if r.CostHint <= 0 || mean <= 0 {
		return 1
	}
	return min(max(r.CostHint.Seconds()/mean, minRelativeWork), maxRelativeWork)
}

// baselineLatency returns the expected unloaded latency of the request, in seconds.
func (r *request) baselineLatency() float64 {
	return r.class.baseline.Value()*r.relativeWork() + minBaseline.Seconds()
}

// relativeLatency returns a latency as a multiple of the request's baseline latency.
func (r *request) relativeLatency(latency time.Duration) float64 {
	return latency.Seconds() / r.baselineLatency()
}

// expectedLatency returns the given multiple of the request's baseline latency.
func (r *request) expectedLatency(relativeLatency float64) time.Duration {
	return time.Duration(r.baselineLatency() * relativeLatency * float64(time.Second))
}

// latencyEstimator estimates latency and congestion over all requests that this node sends.
type latencyEstimator struct {
	smoothed   float64 // smoothed latency in seconds
	congestion float64 // smoothed logarithm of latency divided by the baseline at the same server
}

// newLatencyEstimator returns an estimator whose latency is initially the guessed baseline of the class.
func newLatencyEstimator(class *requestClass) latencyEstimator {
	return latencyEstimator{smoothed: class.baseline.Value()}
}

// record records the latency of a successful response. If the attempt was unloaded, it updates the baselines
// of the class and the server. It then updates the congestion from the ratio of the latency to both
// baselines.
func (e *latencyEstimator) record(
	attempt *attempt, request *request, latency time.Duration, nodesPerServer float64,
) {
	seconds := latency.Seconds()
	congestion := e.congestion // before this response
	e.smoothed += (seconds - e.smoothed) / latencySmoothing
	class := request.class
	class.recordWork(seconds)
	if attempt.unloaded {
		class.recordUnloaded(seconds/request.relativeWork(), congestion)
	}
	classBaseline := class.baseline.Value() * request.relativeWork()
	logRatio := math.Log(max(seconds, minLatency.Seconds()) / classBaseline)
	serverBaseline := &attempt.server.baselineLogRatio
	if attempt.unloaded && congestion < targetCongestion {
		// A sample counts less the more nodes use the server, because their load may affect the sample.
		serverBaseline.AddWithPrior(logRatio, nodesPerServer)
	}
	e.congestion += (logRatio - serverBaseline.Value() - congestion) / congestionSmoothing
}
