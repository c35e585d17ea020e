package policy

import (
	"testing"
	"time"
)

// Guards against servers that respond many times slower than usual and still get all their requests.
func TestSlowResponsesOpenTheBreakerAtUndersampledNode(t *testing.T) {
	settings := testSettings()
	settings.Nodes = 80
	h := newHarness(t, settings, 6)
	h.balancer.refresh(h.now)
	s := h.balancer.subset.servers[0]
	record := &request{class: &h.balancer.classes[0]}
	slowLatency := record.expectedLatency(2 * undersampled().slowResponseMultiple)

	for range failureThreshold {
		a := &attempt{server: s, request: record, startedAt: h.now}
		h.balancer.recordOutcome(h.now, record, a, Outcome{Status: OK, Latency: slowLatency})
	}

	if s.breaker.state != breakerOpen {
		t.Fatalf("breaker %v after %d responses in a row at ten times the baseline latency, want open",
			s.breaker.state, failureThreshold)
	}
}

// Guards against servers that get requests although they respond to none. Each node sees few timeouts, and these
// are shorter than four times the mean latency, which congestion has raised.
func TestTimeoutsOpenTheBreakerAlthoughAllServersAreSlow(t *testing.T) {
	for _, tc := range []struct {
		nodes        int
		regime       samplingRegime
		wantTimeouts int // that open the breaker
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
		timeout := record.expectedLatency(2 * unresponsiveMultiple)
		for i := range tc.wantTimeouts {
			if s.breaker.state != breakerClosed {
				t.Fatalf("%d nodes: breaker %v after %d timeouts, want closed until %d",
					tc.nodes, s.breaker.state, i, tc.wantTimeouts)
			}
			a := &attempt{server: s, request: record, startedAt: h.now}
			h.balancer.recordOutcome(h.now, record, a, Outcome{Status: Timeout, Latency: timeout})
		}
		if s.breaker.state != breakerOpen {
			t.Fatalf("%d nodes: breaker %v after %d timeouts in a row, want open",
				tc.nodes, s.breaker.state, tc.wantTimeouts)
		}
	}
}

// Guards against sending requests to an unresponsive server until its attempts time out.
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
		t.Fatalf("%d of 60 requests in flight at an unresponsive server, want at most 3", n)
	}
	for _, a := range unresponsive.inFlight {
		if len(a.request.attempts) != 2 {
			t.Fatalf("request %d at the unresponsive server had %d attempts, want 2, the second hedged",
				a.request.ID, len(a.request.attempts))
		}
	}
}

// succeedAtOtherServers ends one attempt of a request with success: the first one that was not sent to the excluded
// server.
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
