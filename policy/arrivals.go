package policy

// The rate and the mean priority weight of the requests that arrive at this node.

import (
	"time"

	"calicohinge/internal/decayrate"
	"calicohinge/internal/runningmean"
)

const (
	rateTimeConstant     = 2 * time.Second // time constant of the arrival rate and of the rate of work sent
	maxWeightSamples     = 100             // number of arrivals over which the priority weight is averaged
	highPriorityMultiple = 2.0             // multiple of the mean weight; higher weights are of high priority
)

// arrivalStats measures the requests that arrive at this node.
type arrivalStats struct {
	rate          decayrate.Meter  // requests per second
	weightPerWork runningmean.Mean // mean priority weight per unit of work
}

func newArrivalStats() arrivalStats {
	return arrivalStats{
		rate:          decayrate.New(rateTimeConstant),
		weightPerWork: runningmean.New(maxWeightSamples),
	}
}

// record counts the arrival of a request. The quota must be charged first, because that may change the
// weight of the request.
func (a *arrivalStats) record(now time.Duration, request *request) {
	a.weightPerWork.Add(request.weightPerWork())
	a.rate.Add(now, 1)
}

// meanWeight returns the weight of a request of the class at the mean weight per unit of work.
func (a *arrivalStats) meanWeight(class *requestClass) float64 {
	return a.weightPerWork.Value() * class.workEstimate.Value()
}

// isHighPriority reports whether the weight of a request is above highPriorityMultiple times the mean
// weight of its class.
func (a *arrivalStats) isHighPriority(request *request) bool {
	return request.weight > highPriorityMultiple*a.meanWeight(request.class)
}
