package policy

import (
	"slices"
	"testing"

	"calicohinge/internal/runningmean"
)

// Guards against congestion by requests over the concurrency limit, and against late responses to these requests. The
// requests must wait in the admission queue, and be rejected while their clients can still retry elsewhere.
func TestRequestsOverTheLimitAreQueuedAndShedBeforeTheirObjective(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	for range 10 {
		h.request(0)
	}
	if n := len(h.host.sends); n > 4 {
		t.Fatalf("sends of 10 requests to 2 servers without measurements: got %d, want at most 4", n)
	}
	h.advance(790 * ms)
	if n := len(h.host.rejected); n < 6 {
		t.Fatalf("rejections of 10 requests 10 ms before their latency objective: got %d, want at least 6", n)
	}
}

func TestQueueIsSortedByWeightPerWorkThenObjective(t *testing.T) {
	expensive := &requestClass{workEstimate: runningmean.NewWithInitial(2, 10)}
	cheap := &requestClass{workEstimate: runningmean.NewWithInitial(1, 10)}
	requests := []*request{
		{class: expensive, weight: 1, objectiveDeadline: 1},
		{class: cheap, weight: 1, objectiveDeadline: 3},
		{class: cheap, weight: 1, objectiveDeadline: 2},
		{class: expensive, weight: 6, objectiveDeadline: 9},
	}
	var queue admissionQueue
	for _, r := range requests {
		queue.add(r)
	}
	var got []int // indexes into requests
	for _, r := range queue.waiting {
		got = append(got, slices.Index(requests, r))
	}
	if want := []int{3, 2, 1, 0}; !slices.Equal(got, want) {
		t.Errorf("order of the queued requests: got %v, want %v", got, want)
	}
}
