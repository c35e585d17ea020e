package policy

import "testing"

// Guards against ordering queued requests by an initial estimate that a busy fleet never corrects.
func TestWeightPerWorkFollowsAllResponses(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	heavy := &request{class: &h.balancer.classes[0]}
	loaded := &attempt{server: h.balancer.endpoints.ready[0]}
	for range 50 {
		h.balancer.latency.record(loaded, heavy, 900*ms, h.balancer.subset.nodesPerServer)
	}
	h.request(0) // fills a server, as does the next
	h.request(0)
	slow, other := h.balancer.requests.byID[h.request(0)], h.balancer.requests.byID[h.request(1)]
	if slow == nil || other == nil || !other.precedes(slow) {
		t.Fatal("a class that takes longer for the same weight must come second")
	}
}

// Guards against a baseline that grows with congestion: no other attempt of this node does not mean no load.
func TestOnlyAttemptsInAQuietFleetCountAsUnloaded(t *testing.T) {
	settings := testSettings()
	settings.Nodes = 7
	h := newHarness(t, settings, 7)
	h.balancer.limiter.limit = 2 * h.balancer.subset.nodesPerServer
	h.balancer.arrivals.rate.Add(h.now, 100)
	unloaded, sends := 0, 0
	for range 7 {
		for _, a := range h.balancer.requests.byID[h.request(0)].attempts {
			sends++
			if a.unloaded {
				unloaded++
			}
		}
	}
	if unloaded == 0 || sends < 5 || unloaded > 4 {
		t.Fatalf("%d of %d attempts count as unloaded, want the first few", unloaded, sends)
	}
}
