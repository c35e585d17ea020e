package policy

import (
	"math"
	"testing"
)

// Guards against sorting queued requests by an initial estimate of their work that is never corrected, because no
// attempt in a busy fleet is unloaded.
func TestWeightPerWorkDependsOnAllResponses(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	served := &request{class: &h.balancer.classes[0]}
	loaded := &attempt{server: h.balancer.endpoints.ready[0]}
	for range 50 {
		h.balancer.latency.record(loaded, served, 900*ms, h.balancer.subset.nodesPerServer)
	}
	// The first two requests fill both servers, so that the next two are queued.
	h.request(0)
	h.request(0)
	slow, other := h.balancer.requests.byID[h.request(0)], h.balancer.requests.byID[h.request(1)]
	if slow == nil || other == nil || !other.precedes(slow) {
		t.Fatalf("queued requests of a slow class and another class: known %v, %v; want both known and the slow class last",
			slow != nil, other != nil)
	}
}

// Guards against a baseline latency that rises with congestion. A server without attempts of this node may be
// loaded by other nodes.
func TestOnlyAttemptsInALightlyLoadedFleetCountAsUnloaded(t *testing.T) {
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
		t.Fatalf("attempts that count as unloaded: got %d of %d, want 1 to 4 of at least 5", unloaded, sends)
	}
}

func TestOnlyUnloadedLatenciesChangeTheBaselines(t *testing.T) {
	settings := testSettings()
	for _, tc := range []struct {
		name     string
		unloaded bool
	}{{"unloaded", true}, {"loaded", false}} {
		t.Run(tc.name, func(t *testing.T) {
			class := newRequestClass(Class{Objective: 400 * ms}, &settings)
			estimator := newLatencyEstimator(&class)
			s := newServer(0)
			baseline := class.baseline.Value()

			estimator.record(&attempt{server: s, unloaded: tc.unloaded}, &request{class: &class}, 50*ms, 1)

			if changed := class.baseline.Value() != baseline; changed != tc.unloaded {
				t.Errorf("latency of 50 ms changes the class's baseline: got %v, want %v", changed, tc.unloaded)
			}
			if changed := s.baselineLogRatio.Samples() > 0; changed != tc.unloaded {
				t.Errorf("latency of 50 ms changes the server's baseline: got %v, want %v", changed, tc.unloaded)
			}
		})
	}
}

func TestBaselineIsAtMostAThirdOfTheObjective(t *testing.T) {
	settings := testSettings()
	class := newRequestClass(Class{Objective: 300 * ms}, &settings)
	for range maxLatencySamples {
		class.recordUnloaded(10, 0)
	}
	if got := class.baseline.Value(); got > 0.1 {
		t.Errorf("baseline after latencies of 10 s: got %v s, want at most 0.1 s, a third of the objective", got)
	}
}

func TestCongestionConvergesToTheLogarithmOfRelativeLatency(t *testing.T) {
	settings := testSettings()
	class := newRequestClass(Class{Objective: 400 * ms}, &settings) // the initial baseline is 100 ms
	estimator := newLatencyEstimator(&class)
	loaded := &attempt{server: newServer(0)}
	for range 20 * congestionSmoothing {
		estimator.record(loaded, &request{class: &class}, 200*ms, 1)
	}
	if got := estimator.congestion; math.Abs(got-math.Ln2) > 0.01 {
		t.Errorf("congestion after latencies of twice the baseline: got %.3f, want %.3f", got, math.Ln2)
	}
	if got := estimator.smoothed; math.Abs(got-0.2) > 0.01 {
		t.Errorf("smoothed latency after latencies of 200 ms: got %.3f s, want 0.200 s", got)
	}
}
