package node

import (
	"math"
	"runtime/metrics"
	"slices"
	"time"
)

// schedLatencyMetric is the distribution of the times for which goroutines that could run waited for a processor.
const schedLatencyMetric = "/sched/latencies:seconds"

// schedLatency measures how long goroutines that can run wait for a processor.
type schedLatency struct {
	sample   []metrics.Sample
	previous []uint64 // the counts of the distribution at the previous call of takeMax
}

func newSchedLatency() *schedLatency {
	return &schedLatency{sample: []metrics.Sample{{Name: schedLatencyMetric}}}
}

// takeMax returns the longest wait since the previous call, rounded up to a bound of the runtime's buckets. It returns 0
// if the runtime does not have the distribution.
func (s *schedLatency) takeMax() time.Duration {
	metrics.Read(s.sample)
	if s.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	histogram := s.sample[0].Value.Float64Histogram()
	longest := longestSince(s.previous, histogram)
	s.previous = slices.Clone(histogram.Counts)
	return longest
}

// longestSince returns the upper bound, or for the last bucket the lower bound, of the highest bucket of a distribution
// over seconds whose count differs from the previous one. previous is nil at first.
func longestSince(previous []uint64, histogram *metrics.Float64Histogram) time.Duration {
	for i, count := range slices.Backward(histogram.Counts) {
		if count == 0 || previous != nil && count == previous[i] {
			continue
		}
		bound := histogram.Buckets[i+1]
		if math.IsInf(bound, 1) {
			bound = histogram.Buckets[i]
		}
		return time.Duration(bound * float64(time.Second))
	}
	return 0
}
