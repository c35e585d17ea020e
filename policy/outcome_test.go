package policy

import (
	"testing"
	"time"
)

// Guards against servers that respond, but many times slower, and keep all their traffic.
func TestSlowResponsesOpenTheBreakerOnUndersampledNode(t *testing.T) {
	settings := testSettings()
	settings.Nodes = 80
	h := newHarness(t, settings, 6)
	h.balancer.refresh(h.now)
	s := h.balancer.subset.servers[0]
	record := &request{class: &h.balancer.classes[0]}
	for range failureThreshold {
		a := &attempt{server: s, request: record, sentAt: h.now}
		slow := time.Duration(2 * undersampled().slowResponseMultiple * record.baselineLatency() * float64(time.Second))
		h.balancer.recordOutcome(h.now, record, a, Outcome{Status: OK, Latency: slow})
	}
	if s.breaker.state != breakerOpen {
		t.Fatal("the breaker stays closed though all responses take ten times the baseline latency")
	}
}

// Guards against servers that get requests while they respond to none, with hundreds of abandoned requests
// in their queues: each node sees few time-outs, and each is shorter than four times the mean latency,
// which the congestion itself has raised.
func TestTimeoutsOpenTheBreakerThoughTheFleetIsSlow(t *testing.T) {
	for _, tc := range []struct{ nodes, opens int }{{1, failureThreshold}, {80, undersampled().noResponseThreshold}} {
		settings := testSettings()
		settings.Nodes = tc.nodes
		h := newHarness(t, settings, 12)
		h.balancer.refresh(h.now)
		if want := tc.nodes == 80; (h.balancer.subset.regime == undersampled()) != want {
			t.Fatalf("%d nodes: undersampled %v, want %v", tc.nodes, !want, want)
		}
		h.balancer.means.relativeLatency = 3
		s := h.balancer.subset.servers[0]
		record := &request{class: &h.balancer.classes[0]}
		waited := time.Duration(2 * unresponsiveMultiple * record.baselineLatency() * float64(time.Second))
		for i := range tc.opens {
			if s.breaker.state != breakerClosed {
				t.Fatalf("%d nodes: open after %d time-outs, want %d", tc.nodes, i, tc.opens)
			}
			a := &attempt{server: s, request: record, sentAt: h.now}
			h.balancer.recordOutcome(h.now, record, a, Outcome{Status: Timeout, Latency: waited})
		}
		if s.breaker.state != breakerOpen {
			t.Fatalf("%d nodes: closed after %d time-outs in a row", tc.nodes, tc.opens)
		}
	}
}

// Guards against relying on an unresponsive server until its attempts time out.
func TestUnresponsiveServerIsAvoidedBeforeAnyTimeout(t *testing.T) {
	h := newHarness(t, testSettings(), 6)
	h.serve(100, 20*ms)
	unresponsive := h.balancer.endpoints.ready[2]
	for range 60 {
		id := h.request(0)
		h.advance(20 * ms)
		for _, s := range h.sendsOf(id)[h.outcomesGiven[id]:] {
			if s != unresponsive.Server {
				h.outcomesGiven[id] = len(h.sendsOf(id)) - 1
				h.endAttempt(id, OK, 20*ms)
				break
			}
		}
	}
	if n := len(unresponsive.inFlight); n > 3 {
		t.Fatalf("%d requests wait at an unresponsive server", n)
	}
	for _, a := range unresponsive.inFlight {
		if len(a.request.attempts) != 2 {
			t.Fatal("no hedged request was sent for a request without a response")
		}
	}
}
