package policy

import (
	"testing"
	"time"
)

// Guards against servers that respond many times slower than usual and still get as many requests as before.
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
		h.balancer.recordOutcome(h.now, record, a, Outcome{Status: StatusOK, Latency: slowLatency})
	}

	if s.breaker.state != breakerOpen {
		t.Fatalf("breaker after %d responses in a row at ten times the baseline latency: got %v, want open",
			failureThreshold, s.breaker.state)
	}
}

// Guards against servers that get requests although they respond to none. Each node sees few timeouts, and the timeouts
// may be shorter than four times the mean latency, because congestion raises the mean.
func TestTimeoutsOpenTheBreakerAlthoughAllServersAreSlow(t *testing.T) {
	for _, tc := range []struct {
		nodes        int
		regime       samplingRegime
		wantTimeouts int // number of timeouts in a row that open the breaker
	}{
		{1, wellSampled(), failureThreshold},
		{80, undersampled(), undersampled().noResponseThreshold},
	} {
		settings := testSettings()
		settings.Nodes = tc.nodes
		h := newHarness(t, settings, 12)
		h.balancer.refresh(h.now)
		if got := h.balancer.subset.regime; got != tc.regime {
			t.Fatalf("regime with %d nodes: got %+v, want %+v", tc.nodes, got, tc.regime)
		}
		h.balancer.means.relativeLatency = 3
		s := h.balancer.subset.servers[0]
		record := &request{class: &h.balancer.classes[0]}
		timeout := record.expectedLatency(2 * unresponsiveMultiple)
		for i := range tc.wantTimeouts {
			if s.breaker.state != breakerClosed {
				t.Fatalf("breaker with %d nodes after %d timeouts: got %v, want closed until %d",
					tc.nodes, i, s.breaker.state, tc.wantTimeouts)
			}
			a := &attempt{server: s, request: record, startedAt: h.now}
			h.balancer.recordOutcome(h.now, record, a, Outcome{Status: StatusTimeout, Latency: timeout})
		}
		if s.breaker.state != breakerOpen {
			t.Fatalf("breaker with %d nodes after %d timeouts in a row: got %v, want open",
				tc.nodes, tc.wantTimeouts, s.breaker.state)
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
		t.Fatalf("attempts in flight at an unresponsive server after 60 requests: got %d, want at most 3", n)
	}
	for _, a := range unresponsive.inFlight {
		if len(a.request.attempts) != 2 {
			t.Fatalf("attempts of request %d at the unresponsive server: got %d, want 2, the second hedged",
				a.request.ID, len(a.request.attempts))
		}
	}
}

// succeedAtOtherServers ends an attempt of a request with status StatusOK: the first attempt that was not sent to
// the excluded server.
func (h *harness) succeedAtOtherServers(id RequestID, excluded ServerID, latency time.Duration) {
	for index, s := range h.attemptedServers(id) {
		if s != excluded {
			h.balancer.Outcome(h.now, Outcome{
				ID: id, Attempt: index, Server: s, Status: StatusOK, Latency: latency, RequestCompleted: true,
			})
			return
		}
	}
}
