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
	slow := record.expectedLatency(2 * undersampled().slowResponseMultiple)

	for range failureThreshold {
		a := &attempt{server: s, request: record, sentAt: h.now}
		h.balancer.recordOutcome(h.now, record, a, Outcome{Status: OK, Latency: slow})
	}

	if s.breaker.state != breakerOpen {
		t.Fatal("the breaker stays closed though all responses take ten times the baseline latency")
	}
}

// Guards against servers that get requests while they respond to none. Each node sees few time-outs, and each
// of them is shorter than four times the mean latency, which the congestion itself has raised.
func TestTimeoutsOpenTheBreakerThoughTheFleetIsSlow(t *testing.T) {
	for _, tc := range []struct {
		nodes    int
		regime   samplingRegime
		timeouts int // that open the breaker
	}{
		{1, wellSampled(), failureThreshold},
		{80, undersampled(), undersampled().noResponseThreshold},
	} {
		settings := testSettings()
		settings.Nodes = tc.nodes
		h := newHarness(t, settings, 12)
		h.balancer.refresh(h.now)
		if got := h.balancer.subset.regime; got != tc.regime {
			t.Fatalf("%d nodes: regime %+v, want %+v", tc.nodes, got, tc.regime)
		}
		h.balancer.means.relativeLatency = 3
		s := h.balancer.subset.servers[0]
		record := &request{class: &h.balancer.classes[0]}
		waited := record.expectedLatency(2 * unresponsiveMultiple)
		for i := range tc.timeouts {
			if s.breaker.state != breakerClosed {
				t.Fatalf("%d nodes: open after %d time-outs, want %d", tc.nodes, i, tc.timeouts)
			}
			a := &attempt{server: s, request: record, sentAt: h.now}
			h.balancer.recordOutcome(h.now, record, a, Outcome{Status: Timeout, Latency: waited})
		}
		if s.breaker.state != breakerOpen {
			t.Fatalf("%d nodes: closed after %d time-outs in a row", tc.nodes, tc.timeouts)
		}
	}
}

// Guards against relying on an unresponsive server until its attempts time out.
func TestUnresponsiveServerIsAvoidedBeforeAnyTimeout(t *testing.T) {
	h := newHarness(t, testSettings(), 6)
	h.serveRequests(100, 20*ms)
	unresponsive := h.balancer.endpoints.ready[2]
	for range 60 {
		id := h.request(0)
		h.advance(20 * ms)
		h.succeedAtOtherServers(id, unresponsive.Server, 20*ms)
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

// succeedAtOtherServers makes the first attempt of a request succeed that was not sent to the given server.
func (h *harness) succeedAtOtherServers(id RequestID, excluded ServerID, latency time.Duration) {
	for index, s := range h.attemptedServers(id) {
		if s != excluded {
			h.balancer.Outcome(h.now, Outcome{
				ID: id, Attempt: index, Server: s, Status: OK, Latency: latency, RequestCompleted: true,
			})
			return
		}
	}
}
