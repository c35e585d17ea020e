package policy

import (
	"testing"
	"time"
)

// Guards against sending a retry or a queued request to a server after an update that drains or removes the server.
func TestNoSendToDrainingOrRemovedServer(t *testing.T) {
	settings := testSettings()
	h := newHarness(t, settings, 2)
	for i := range 20 { // more requests than the servers have capacity for, so that some are queued
		h.request(i % 3)
	}
	first := h.host.sends[0]
	h.endAttempt(first.id, StatusServerError, ms) // starts a backoff

	h.updateEndpoints(UpdateDelta, Endpoint{Server: 1, State: EndpointDraining})
	h.updateEndpoints(UpdateDelta, Endpoint{Server: 2, State: EndpointRemoved})
	before := len(h.host.sends)
	h.advance(3 * time.Second)

	if len(h.host.sends) != before {
		t.Fatalf("sends after one server drains and the other is removed: got %v, want none", h.host.sends[before:])
	}
	h.updateEndpoints(UpdateSnapshot, readyEndpoints(2, 3)...)
	if id := h.request(0); len(h.attemptedServers(id)) != 1 {
		t.Fatalf("sends of a request after a snapshot with ready servers: got %d, want 1", len(h.attemptedServers(id)))
	}
}

// Guards against an endpoint set that grows without bound as servers are replaced by others with new IDs. A
// draining server that is missing from a snapshot must be dropped like a ready server.
func TestServersMissingFromSnapshotAreDropped(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	for i := 5; i < 3000; i++ {
		entries := readyEndpoints(i-3, i)
		entries[0].State = EndpointDraining
		h.updateEndpoints(UpdateSnapshot, entries...)
		h.now += ms
	}
	if n := len(h.balancer.endpoints.byID); n > 4 {
		t.Errorf("known servers after the last snapshot: got %d, want at most the 4 of the snapshot", n)
	}
}

// Guards against attempts in flight at a server's previous process that use up the capacity of the new process.
func TestRestartFreesCapacityHeldByPreviousProcess(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	first, second := h.request(0), h.request(0)
	if h.balancer.limiter.inFlight != 2 {
		t.Fatalf("attempts in flight before the restart: got %d, want 2", h.balancer.limiter.inFlight)
	}
	restarted := readyEndpoints(1, 2)
	for i := range restarted {
		restarted[i].StartedAt = h.now
	}
	h.now += ms

	h.updateEndpoints(UpdateDelta, restarted...)

	servers := h.balancer.endpoints.byID
	if h.balancer.limiter.inFlight != 0 || len(servers[1].inFlight)+len(servers[2].inFlight) != 0 {
		t.Fatalf("attempts in flight after the restart: got %d of the node, %d and %d at the servers; want none",
			h.balancer.limiter.inFlight, len(servers[1].inFlight), len(servers[2].inFlight))
	}
	h.endAttempt(first, StatusReset, ms)
	h.endAttempt(second, StatusTimeout, time.Second)
	if h.balancer.limiter.inFlight < 0 {
		t.Fatalf("attempts in flight after the outcomes of the lost attempts: got %d, want at least 0",
			h.balancer.limiter.inFlight)
	}
}

// Guards against wrong counts of attempts and requests after a server with attempts in flight has left the endpoint
// list and is listed again, and after events for attempts that have ended.
func TestRelistedServerAndStaleEventsKeepCountsConsistent(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	first, second := h.request(0), h.request(2)

	h.updateEndpoints(UpdateSnapshot, readyEndpoints(2, 2)...)
	h.updateEndpoints(UpdateSnapshot, readyEndpoints(1, 2)...)

	if len(h.balancer.endpoints.ready) != 2 {
		t.Fatalf("ready servers after server 1 was listed again: got %d, want 2", len(h.balancer.endpoints.ready))
	}
	h.endAttempt(first, StatusOK, 20*ms)
	h.balancer.ClientDisconnected(h.now, first) // in the same batch as the outcome
	h.balancer.ClientDisconnected(h.now, second)
	if h.host.cancels != 1 || len(h.host.rejected)+len(h.host.failed) != 0 {
		t.Fatalf("both clients disconnected, the first after its response: got %d cancels, rejected %v, failed %v; "+
			"want 1, none, none",
			h.host.cancels, h.host.rejected, h.host.failed)
	}
	h.endAttempt(second, StatusCancelled, 20*ms)
	h.balancer.Outcome(h.now, Outcome{ID: second, Status: StatusOK}) // repeated outcome
	h.balancer.Outcome(h.now, Outcome{ID: 999, Attempt: 3, Status: StatusServerError})
	h.balancer.StreamStarted(h.now, 999, 0)
	requests, inFlight := &h.balancer.requests, h.balancer.limiter.inFlight
	if inFlight != 0 || len(requests.byID) != 0 || len(requests.active) != 0 {
		t.Fatalf("after the last outcome: got %d attempts in flight, %d known requests, %d active; want none",
			inFlight, len(requests.byID), len(requests.active))
	}
}
