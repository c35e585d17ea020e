package policy

import (
	"testing"
	"time"

	"calicohinge/internal/runningmean"
)

func TestStaleEventsCauseNoActions(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	id := h.request(0)
	h.endAttempt(id, StatusOK, 10*ms)
	before := len(h.host.log)

	h.balancer.Outcome(h.now, Outcome{ID: id, Attempt: 0, Status: StatusOK})
	h.balancer.Outcome(h.now, Outcome{ID: 999, Attempt: 3, Status: StatusServerError})
	h.balancer.Outcome(h.now, Outcome{ID: id, Attempt: -1, Status: StatusServerError})
	h.balancer.ClientDisconnected(h.now, id)
	h.balancer.StreamStarted(h.now, id, 0)
	h.balancer.Timer(h.now, 77)
	h.updateEndpoints(UpdateDelta, Endpoint{Server: 55, State: EndpointRemoved})

	if len(h.host.log) != before {
		t.Fatalf("actions after stale events: got %q, want none", h.host.log[before:])
	}
}

func TestRequestOfUnknownClassIsRejected(t *testing.T) {
	h := newHarness(t, testSettings(), 2)

	h.balancer.Request(h.now, Request{ID: 1000, Class: 9, Timeout: time.Second})

	if _, ok := h.host.rejected[1000]; !ok {
		t.Fatal("request of the unknown class 9: not rejected, want it rejected")
	}
}

func TestStartedStreamIsNotCancelledOrRetried(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Streaming = true
	h := newHarness(t, settings, 4)
	id := h.request(0)

	h.balancer.StreamStarted(h.now, id, 0)
	h.advance(10 * time.Second) // long after the deadline

	if len(h.attemptedServers(id)) != 1 || h.host.failed[id] || h.host.cancels > 0 {
		t.Fatalf("10 s after StreamStarted: got %d sends, failed %v, %d cancels; want 1, false, 0",
			len(h.attemptedServers(id)), h.host.failed[id], h.host.cancels)
	}
}

// Guards against requests that never complete, or are sent again, because their node shuts down. Requests that are safe
// to reject must be rejected, so that their clients can retry them at another node. All other requests must fail.
func TestTerminateAllCompletesEveryRequest(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	var ids []RequestID
	for class := range h.balancer.classes {
		for range 10 {
			ids = append(ids, h.request(class))
		}
	}
	sends := len(h.host.sends)
	wantRejected := map[RequestID]bool{}
	for _, id := range ids {
		wantRejected[id] = h.balancer.requests.byID[id].safeToReject()
	}

	h.balancer.TerminateAll(h.now)

	for _, id := range ids {
		_, rejected := h.host.rejected[id]
		if rejected == h.host.failed[id] || rejected != wantRejected[id] {
			t.Errorf("request %d after TerminateAll: got rejected %v, failed %v; want %v, %v",
				id, rejected, h.host.failed[id], wantRejected[id], !wantRejected[id])
		}
	}
	h.advance(time.Minute)
	if len(h.host.sends) != sends || len(h.balancer.requests.active) != 0 {
		t.Errorf("a minute after TerminateAll: got %d more sends, %d active requests; want 0, 0",
			len(h.host.sends)-sends, len(h.balancer.requests.active))
	}
}

// Guards against final responses later than ResponseGrace after the client's deadline. The periodic check runs
// every 10 ms, but only at the end of a tick. Both intervals may be longer than the grace.
func TestFinalResponseComesWithinResponseGraceForAnyTick(t *testing.T) {
	const timeout, grace = 122*ms + ms/2, 5 * ms
	for _, tick := range []time.Duration{ms, 5 * ms, 50 * ms} {
		settings := testSettings()
		settings.Tick, settings.Rules.ResponseGrace = tick, grace
		h := newHarness(t, settings, 0)
		h.updateEndpoints(UpdateSnapshot, readyEndpoints(1, 1)...)
		for range 40 {
			h.request(0) // far more requests than the server has capacity for
		}
		// With this short baseline latency, the request is shed as late only about 1 ms before its deadline.
		h.balancer.classes[2].baseline = runningmean.NewWithInitial(0.0001, maxLatencySamples)
		h.lastID++
		deadline := h.now + timeout
		h.balancer.Request(h.now, Request{ID: h.lastID, Class: 2, Timeout: timeout})
		record := h.balancer.requests.byID[h.lastID]
		record.queueingDeadline = maxTime // by default, the request is rejected after about half of its timeout
		earliest := record.deadline - 2*ms
		rejected := false
		for h.now < deadline+grace && !rejected {
			h.now += tick // events come in batches a tick apart
			h.host.runDueTimers(h.balancer, h.now)
			_, rejected = h.host.rejected[h.lastID]
		}
		if !rejected || h.now < earliest || h.now > deadline+grace {
			t.Errorf("tick %v: got rejected %v at the deadline plus %v, want true at the deadline plus %v to %v",
				tick, rejected, h.now-deadline, earliest-deadline, grace)
		}
	}
}
