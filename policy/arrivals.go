package policy

// The rate and the mean priority weight of the requests that arrive at this node.

import (
	"time"

	"calicohinge/internal/decayrate"
	"calicohinge/internal/runningmean"
)

const (
	rateTimeConstant     = 2 * time.Second // of the arrival rate and the rate of work sent
	maxWeightSamples     = 100             // arrivals over which the priority weight is averaged
	highPriorityMultiple = 2.0             // of the mean weight; a request above it has high priority
)

// arrivalStats measures the requests that arrive at this node.
type arrivalStats struct {
	rate          decayrate.Meter
	weightPerWork runningmean.Mean
}

func newArrivalStats() arrivalStats {
	return arrivalStats{
		rate:          decayrate.New(rateTimeConstant),
		weightPerWork: runningmean.New(maxWeightSamples),
	}
}

// record counts an arrival. The quota must be charged first, because that may lower the request's weight.
func (a *arrivalStats) record(now time.Duration, request *request) {
	a.weightPerWork.Add(request.weightPerWork())
	a.rate.Add(now, 1)
}

// meanWeight returns the weight that a request of the class has at the mean weight per unit of work.
func (a *arrivalStats) meanWeight(class *requestClass) float64 {
	return a.weightPerWork.Value() * class.workEstimate.Value()
}

// isHighPriority reports whether a request's weight is far above the mean for the work of its class.
func (a *arrivalStats) isHighPriority(request *request) bool {
	return request.weight > highPriorityMultiple*a.meanWeight(request.class)
}
