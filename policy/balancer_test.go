package policy

import (
	"testing"
	"time"

	"calicohinge/internal/runningmean"
)

func TestStaleEventsHaveNoEffect(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	id := h.request(0)
	h.endAttempt(id, OK, 10*ms)
	before := len(h.host.log)

	h.balancer.Outcome(h.now, Outcome{ID: id, Attempt: 0, Status: OK})
	h.balancer.Outcome(h.now, Outcome{ID: 999, Attempt: 3, Status: ServerError})
	h.balancer.Outcome(h.now, Outcome{ID: id, Attempt: -1, Status: ServerError})
	h.balancer.ClientDisconnected(h.now, id)
	h.balancer.StreamStarted(h.now, id, 0)
	h.balancer.Timer(h.now, 77)
	h.updateEndpoints(UpdateDelta, Endpoint{Server: 55, State: Removed})

	if len(h.host.log) != before {
		t.Fatalf("stale events led to %v", h.host.log[before:])
	}
}

func TestRequestOfUnknownClassIsRejected(t *testing.T) {
	h := newHarness(t, testSettings(), 2)

	h.balancer.Request(h.now, Request{ID: 1000, Class: 9, Timeout: time.Second})

	if _, ok := h.host.rejected[1000]; !ok {
		t.Fatal("a request of an unknown class got no final response")
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
		t.Fatalf("a running stream was touched: %v", h.host.log)
	}
}

// A node that shuts down rejects every active request where that is safe and fails the others. Nothing is sent
// or completed afterwards.
func TestTerminateAllCompletesEveryRequest(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	var ids []RequestID
	for class := range h.balancer.classes {
		for range 10 {
			ids = append(ids, h.request(class))
		}
	}
	sends := len(h.host.sends)
	safe := map[RequestID]bool{}
	for _, id := range ids {
		safe[id] = h.balancer.requests.byID[id].safeToReject()
	}

	h.balancer.TerminateAll(h.now)

	for _, id := range ids {
		_, rejected := h.host.rejected[id]
		if rejected == h.host.failed[id] || rejected != safe[id] {
			t.Errorf("request %d: rejected %v, failed %v", id, rejected, h.host.failed[id])
		}
	}
	h.advance(time.Minute)
	if len(h.host.sends) != sends || len(h.balancer.requests.active) != 0 {
		t.Errorf("%d sends more, %d still active", len(h.host.sends)-sends, len(h.balancer.requests.active))
	}
}

// Guards against a final response after the grace: the periodic check runs every 10 ms, a grace may be shorter,
// and a tick may be longer than either.
func TestFinalResponseComesWithinTheGraceForAnyTick(t *testing.T) {
	const timeout, grace = 122*ms + ms/2, 5 * ms
	for _, tick := range []time.Duration{ms, 5 * ms, 50 * ms} {
		settings := testSettings()
		settings.Tick, settings.Rules.ResponseGrace = tick, grace
		h := newHarness(t, settings, 0)
		h.updateEndpoints(UpdateSnapshot, readyEndpoints(1, 1)...)
		for range 40 {
			h.request(0) // far more than there is capacity for
		}
		// The baseline is so short that the request stays in the queue until its deadline.
		h.balancer.classes[2].baseline = runningmean.NewWithGuess(0.0001, maxLatencySamples)
		h.lastID++
		deadline := h.now + timeout
		h.balancer.Request(h.now, Request{ID: h.lastID, Class: 2, Timeout: timeout})
		rejected := false
		for h.now < deadline+grace && !rejected {
			h.now += tick // events come in batches a tick apart
			h.host.runDueTimers(h.balancer, h.now)
			_, rejected = h.host.rejected[h.lastID]
		}
		if !rejected || h.now > deadline+grace {
			t.Errorf("tick %v: rejected %v, %v after the deadline", tick, rejected, h.now-deadline)
		}
	}
}
