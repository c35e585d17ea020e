package policy

// The estimates of latency and congestion. They are relative to the baseline, which is the latency of
// requests that had a server to themselves.

import (
	"math"
	"time"

	"calicohinge/internal/runningmean"
)

const (
	maxLatencySamples   = 400 // over which a class's latencies are averaged
	startupSamples      = 12  // count for a class's baseline whatever the congestion, to correct the guess
	maxServerSamples    = 16  // over which a server's baseline is averaged
	maxCostHintSamples  = 64  // over which a class's cost hints are averaged
	latencySmoothing    = 64  // responses over which the latency is smoothed
	congestionSmoothing = 32  // responses over which the congestion is smoothed

	minRelativeWork = 0.25 // bounds the work by a cost hint, which is a rough estimate
	maxRelativeWork = 4    // likewise

	initialBaselineFraction = 1.0 / 4              // of a class's latency objective
	maxBaselineCongestion   = targetCongestion / 2 // up to which a sample counts for a class's baseline
	baselineCapDivisor      = 3                    // a sample counts as a third of the objective at most

	minBaseline = time.Millisecond       // so that multiples of the baseline stay finite
	minLatency  = 100 * time.Microsecond // so that logarithms stay finite
)

// requestClass is a class with the measurements of its requests, in seconds.
type requestClass struct {
	Class                         // with Objective set
	baseline     runningmean.Mean // latency of an unloaded request of mean work
	workEstimate runningmean.Mean // latency of all served requests; 1 with Settings.WeightByWork
	costHint     runningmean.Mean
	weightByWork bool // Settings.WeightByWork
}

func newRequestClass(class Class, settings *Settings) requestClass {
	if class.Objective == 0 {
		class.Objective = class.Deadline
	}
	baseline := runningmean.NewWithGuess(class.Objective.Seconds()*initialBaselineFraction, maxLatencySamples)
	workEstimate := baseline
	if settings.WeightByWork {
		workEstimate = runningmean.NewWithGuess(1, maxLatencySamples)
	}
	return requestClass{
		Class:        class,
		baseline:     baseline,
		workEstimate: workEstimate,
		costHint:     runningmean.New(maxCostHintSamples),
		weightByWork: settings.WeightByWork,
	}
}

// recordCostHint takes the cost hint of an arrival; 0 is none.
func (c *requestClass) recordCostHint(hint time.Duration) {
	if hint > 0 {
		c.costHint.Add(hint.Seconds())
	}
}

// recordWork takes the latency of any response, in seconds: unloaded ones are rare in a busy fleet.
func (c *requestClass) recordWork(latency float64) {
	if !c.weightByWork {
		c.workEstimate.Add(latency)
	}
}

// recordUnloaded takes the latency of an unloaded request, in seconds at mean work. Latencies close to the
// objective are outliers, which would hide congestion.
func (c *requestClass) recordUnloaded(latency, congestion float64) {
	if c.baseline.Samples() < startupSamples || congestion < maxBaselineCongestion {
		c.baseline.Add(min(latency, c.Objective.Seconds()/baselineCapDivisor))
	}
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
	return r.class.baseline.Value()*r.relativeWork() + minBaseline.Seconds()
}

// relativeLatency returns a latency as a multiple of the request's baseline latency.
func (r *request) relativeLatency(latency time.Duration) float64 {
	return latency.Seconds() / r.baselineLatency()
}

// expectedLatency returns the latency of the request at the given multiple of its baseline.
func (r *request) expectedLatency(relativeLatency float64) time.Duration {
	return time.Duration(r.baselineLatency() * relativeLatency * float64(time.Second))
}

// latencyEstimator measures the latency and the congestion over all requests that this node sends.
type latencyEstimator struct {
	smoothed   float64 // seconds
	congestion float64 // smoothed logarithm of latency over the baseline at the same server
}

// newLatencyEstimator starts from the guessed baseline of a class.
func newLatencyEstimator(class *requestClass) latencyEstimator {
	return latencyEstimator{smoothed: class.baseline.Value()}
}

// record takes the latency of a successful response. It adapts the baselines of the class and of the server
// if the attempt was unloaded, and then compares the latency with both.
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
	serverBaseline := &attempt.server.baseline
	if attempt.unloaded && congestion < targetCongestion {
		// The more nodes use the server, the more a sample may be due to their load.
		serverBaseline.AddWithPrior(logRatio, nodesPerServer)
	}
	e.congestion += (logRatio - serverBaseline.Value() - congestion) / congestionSmoothing
}
