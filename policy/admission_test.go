package policy

import (
	"slices"
	"testing"

	"calicohinge/internal/runningmean"
)

// Guards against congestion at the servers: what they cannot take waits here, and what would be late is
// rejected while its client can still retry elsewhere.
func TestRequestsBeyondTheLimitAreQueuedAndShedInTime(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	for range 10 {
		h.request(0)
	}
	if n := len(h.host.sends); n > 4 {
		t.Fatalf("%d requests in flight at two unmeasured servers", n)
	}
	h.advance(790 * ms)
	if n := len(h.host.rejected); n < 6 {
		t.Fatalf("%d of the queued requests rejected before their objective had passed", n)
	}
}

func TestQueueIsSortedByWeightPerWorkThenObjective(t *testing.T) {
	expensive := &requestClass{workEstimate: runningmean.NewWithGuess(2, 10)}
	cheap := &requestClass{workEstimate: runningmean.NewWithGuess(1, 10)}
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
	want := []*request{requests[3], requests[2], requests[1], requests[0]}
	if !slices.Equal(queue.waiting, want) {
		t.Errorf("queue %v, want %v", queue.waiting, want)
	}
}
