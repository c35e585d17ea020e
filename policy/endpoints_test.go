package policy

import (
	"testing"
	"time"
)

// Guards against sends after the update, also by retries and queued requests.
func TestNoSendToDrainingOrGoneServer(t *testing.T) {
	settings := testSettings()
	h := newHarness(t, settings, 2)
	for i := range 20 { // more than there is capacity for: some are queued
		h.request(i % 3)
	}
	first := h.host.sends[0]
	h.endAttempt(first.id, ServerError, ms) // waits for its backoff
	h.update(UpdateDelta, Endpoint{Server: 1, State: Draining})
	h.update(UpdateDelta, Endpoint{Server: 2, State: Removed})
	before := len(h.host.sends)
	h.advance(3 * time.Second)
	if len(h.host.sends) != before {
		t.Fatalf("sent %v after the updates", h.host.sends[before:])
	}
	h.update(UpdateSnapshot, ready(2, 3)...)
	if id := h.request(0); len(h.sendsOf(id)) != 1 {
		t.Fatal("the servers of the snapshot are not used")
	}
}

// Servers are replaced under ever new IDs. One that is draining and then left out of a snapshot must be
// forgotten like one that was ready.
func TestUnlistedServersAreForgotten(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	for i := 5; i < 3000; i++ {
		entries := ready(i-3, i)
		entries[0].State = Draining
		h.update(UpdateSnapshot, entries...)
		h.now += ms
	}
	if n := len(h.balancer.endpoints.byID); n > 4 {
		t.Errorf("%d servers are known, want the 4 listed", n)
	}
}

// Guards against attempts at a server's former process that use up the capacity of the new one.
func TestRestartFreesCapacityHeldByFormerProcess(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	first, second := h.request(0), h.request(0)
	if h.balancer.limiter.inFlight != 2 {
		t.Fatalf("%d attempts in flight, want 2", h.balancer.limiter.inFlight)
	}
	restarted := ready(1, 2)
	for i := range restarted {
		restarted[i].StartedAt = h.now
	}
	h.now += ms
	h.update(UpdateDelta, restarted...)
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
	h.update(UpdateSnapshot, ready(2, 2)...)
	h.update(UpdateSnapshot, ready(1, 2)...)
	if len(h.balancer.endpoints.ready) != 2 {
		t.Fatalf("%d servers ready after one came back, want 2", len(h.balancer.endpoints.ready))
	}
	h.endAttempt(first, OK, 20*ms)
	h.balancer.ClientDisconnected(h.now, first) // in the batch of its outcome
	h.balancer.ClientDisconnected(h.now, second)
	if h.host.cancels != 1 || len(h.host.rejected)+len(h.host.failed) != 0 {
		t.Fatalf("%d cancels, answers %v %v; want one cancel", h.host.cancels, h.host.rejected, h.host.failed)
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

func TestWatchIsRepeatedAfterFailuresAndListStaysInForce(t *testing.T) {
	settings := testSettings()
	settings.PollEndpoints = true
	h := newHarness(t, settings, 3)
	if h.host.watches != 1 {
		t.Fatalf("%d calls at the start, want 1", h.host.watches)
	}
	for range 2 {
		h.balancer.WatchFailed(h.now, h.now+NotificationDeadline)
	}
	h.advance(settings.Rules.MaxPollInterval / 2)
	if h.host.watches < 2 {
		t.Fatal("no new call after a failure")
	}
	if len(h.balancer.endpoints.ready) != 3 {
		t.Fatal("a failed call must leave the list in force")
	}
}

// A watch that falls silent is repeated in the time left until the notification deadline, by the nodes of a
// fleet at different times, and the backoff does not grow beyond that.
func TestSilentWatchIsRepeatedBeforeNotificationDeadline(t *testing.T) {
	const left = NotificationDeadline / 4 // until the notification deadline
	const span = NotificationDeadline / 8 // for the next call
	settings := testSettings()
	settings.PollEndpoints, settings.Nodes = true, 300
	apart := map[time.Duration]bool{}
	for node := range 100 {
		settings.Node = node
		host := newHost()
		balancer, err := New(settings, uint64(node), host)
		if err != nil {
			t.Fatal(err)
		}
		for range 5 {
			host.timers = nil
			balancer.WatchFailed(time.Hour, time.Hour+left)
			if len(host.timers) != 1 || host.timers[0].token != timerWatch || host.timers[0].at > time.Hour+span {
				t.Fatalf("timers %v", host.timers)
			}
			apart[host.timers[0].at.Truncate(span/10)] = true
		}
	}
	if len(apart) < 8 {
		t.Errorf("the calls fall into %d tenths of the span", len(apart))
	}
}

func TestFewNodesOrEmptyListWatchAtOnce(t *testing.T) {
	for _, tc := range []struct {
		nodes   int
		entries []Endpoint
		at      bool
	}{{3, ready(1, 10), true}, {80, nil, true}, {80, ready(1, 10), false}} {
		settings := testSettings()
		settings.Nodes, settings.PollEndpoints = tc.nodes, true
		host := newHost()
		balancer, err := New(settings, 1, host)
		if err != nil {
			t.Fatal(err)
		}
		balancer.UpdateEndpoints(time.Hour, UpdateCached, tc.entries)
		if at := host.watches == 1; at != tc.at {
			t.Errorf("%d nodes, %d servers known: watches at once: %v, want %v",
				tc.nodes, len(tc.entries), at, tc.at)
		}
		latest := time.Hour + settings.Rules.MaxPollInterval/2
		if !tc.at && (len(host.timers) != 1 || host.timers[0].at > latest) {
			t.Errorf("timers %v, want one by %v", host.timers, latest)
		}
	}
}
