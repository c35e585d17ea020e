package policy

import (
	"testing"
	"time"
)

// Guards against sends after the update, also by retries and queued requests.
func TestNoSendToDrainingOrRemovedServer(t *testing.T) {
	settings := testSettings()
	h := newHarness(t, settings, 2)
	for i := range 20 { // more than there is capacity for: some are queued
		h.request(i % 3)
	}
	first := h.host.sends[0]
	h.endAttempt(first.id, ServerError, ms) // waits for its backoff

	h.updateEndpoints(UpdateDelta, Endpoint{Server: 1, State: Draining})
	h.updateEndpoints(UpdateDelta, Endpoint{Server: 2, State: Removed})
	before := len(h.host.sends)
	h.advance(3 * time.Second)

	if len(h.host.sends) != before {
		t.Fatalf("sent %v after the updates", h.host.sends[before:])
	}
	h.updateEndpoints(UpdateSnapshot, readyEndpoints(2, 3)...)
	if id := h.request(0); len(h.attemptedServers(id)) != 1 {
		t.Fatal("the servers of the snapshot are not used")
	}
}

// Servers are replaced under ever new IDs. One that is draining and then left out of a snapshot must be
// forgotten like one that was ready.
func TestUnlistedServersAreForgotten(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	for i := 5; i < 3000; i++ {
		entries := readyEndpoints(i-3, i)
		entries[0].State = Draining
		h.updateEndpoints(UpdateSnapshot, entries...)
		h.now += ms
	}
	if n := len(h.balancer.endpoints.byID); n > 4 {
		t.Errorf("%d servers are known, want the 4 listed", n)
	}
}

// Guards against attempts at a server's previous process that use up the capacity of the new one.
func TestRestartFreesCapacityHeldByPreviousProcess(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	first, second := h.request(0), h.request(0)
	if h.balancer.limiter.inFlight != 2 {
		t.Fatalf("%d attempts in flight, want 2", h.balancer.limiter.inFlight)
	}
	restarted := readyEndpoints(1, 2)
	for i := range restarted {
		restarted[i].StartedAt = h.now
	}
	h.now += ms

	h.updateEndpoints(UpdateDelta, restarted...)

	servers := h.balancer.endpoints.byID
	if h.balancer.limiter.inFlight != 0 || len(servers[1].inFlight)+len(servers[2].inFlight) != 0 {
		t.Fatalf("%d attempts use up the capacity of the new processes", h.balancer.limiter.inFlight)
	}
	h.endAttempt(first, Reset, ms)
	h.endAttempt(second, Timeout, time.Second)
	if h.balancer.limiter.inFlight < 0 {
		t.Fatalf("%d attempts in flight", h.balancer.limiter.inFlight)
	}
}

// Guards against wrong counts after a server has left the list and come back with attempts in flight, and
// after events for ended attempts.
func TestRelistedServerAndStaleEventsKeepCountsConsistent(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	first, second := h.request(0), h.request(2)

	h.updateEndpoints(UpdateSnapshot, readyEndpoints(2, 2)...)
	h.updateEndpoints(UpdateSnapshot, readyEndpoints(1, 2)...)

	if len(h.balancer.endpoints.ready) != 2 {
		t.Fatalf("%d servers ready after one came back, want 2", len(h.balancer.endpoints.ready))
	}
	h.endAttempt(first, OK, 20*ms)
	h.balancer.ClientDisconnected(h.now, first) // in the batch of its outcome
	h.balancer.ClientDisconnected(h.now, second)
	if h.host.cancels != 1 || len(h.host.rejected)+len(h.host.failed) != 0 {
		t.Fatalf("%d cancels, final responses %v %v; want one cancel", h.host.cancels, h.host.rejected, h.host.failed)
	}
	h.endAttempt(second, Cancelled, 20*ms)
	h.balancer.Outcome(h.now, Outcome{ID: second, Status: OK}) // repeated
	h.balancer.Outcome(h.now, Outcome{ID: 999, Attempt: 3, Status: ServerError})
	h.balancer.StreamStarted(h.now, 999, 0)
	requests, inFlight := &h.balancer.requests, h.balancer.limiter.inFlight
	if inFlight != 0 || len(requests.byID) != 0 || len(requests.active) != 0 {
		t.Fatalf("%d in flight, %d known, %d active at the end", inFlight, len(requests.byID), len(requests.active))
	}
}
