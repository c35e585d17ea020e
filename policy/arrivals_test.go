package policy

import (
	"testing"
	"time"

	"calicohinge/internal/runningmean"
)

func TestHighPriorityIsMoreThanTwiceTheMeanWeight(t *testing.T) {
	class := &requestClass{workEstimate: runningmean.NewWithInitial(0.5, 10)}
	arrivals := newArrivalStats()
	for range maxWeightSamples {
		arrivals.record(time.Hour, &request{class: class, weight: 1})
	}
	if got := arrivals.meanWeight(class); got != 1 {
		t.Errorf("meanWeight after %d requests of weight 1 = %v, want 1", maxWeightSamples, got)
	}
	for _, tc := range []struct {
		weight   float64
		wantHigh bool
	}{{1, false}, {2, false}, {2.1, true}} {
		if got := arrivals.isHighPriority(&request{class: class, weight: tc.weight}); got != tc.wantHigh {
			t.Errorf("isHighPriority at weight %v and mean weight 1 = %v, want %v", tc.weight, got, tc.wantHigh)
		}
	}
}
