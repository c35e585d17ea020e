package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// failureWith returns the failure of a call with a remaining time to the notification deadline.
func failureWith(now, remaining time.Duration) WatchFailure {
	return WatchFailure{NotifiedAt: now + remaining, CallNotifiedAt: now + remaining}
}

// Guards against a failed watch that is not repeated within half of MaxPollInterval, or that drops the servers of the
// last endpoint list.
func TestFailedWatchIsRepeatedAndEndpointListStaysInUse(t *testing.T) {
	settings := testSettings()
	settings.PollEndpoints = true
	h := newHarness(t, settings, 3)
	if h.host.watches != 1 {
		t.Fatalf("calls of WatchEndpoints after the first endpoint list: got %d, want 1", h.host.watches)
	}

	for range 2 {
		h.balancer.WatchFailed(h.now, failureWith(h.now, NotificationDeadline))
	}
	h.advance(settings.Rules.MaxPollInterval / 2)

	if h.host.watches < 2 {
		t.Fatalf("calls of WatchEndpoints within %v of two failures: got %d, want at least 2",
			settings.Rules.MaxPollInterval/2, h.host.watches)
	}
	if n := len(h.balancer.endpoints.ready); n != 3 {
		t.Fatalf("ready servers after failed watches: got %d, want the 3 of the last endpoint list", n)
	}
}

// Guards against a backoff that grows beyond the time until the notification deadline after several unresponsive
// watches. Also guards against a burst of calls: the nodes of a fleet must repeat their watches at different times.
func TestUnresponsiveWatchIsRepeatedBeforeNotificationDeadline(t *testing.T) {
	const remainingTime = NotificationDeadline / 4 // time until the notification deadline
	const span = NotificationDeadline / 8          // time within which the next call must start
	settings := testSettings()
	settings.PollEndpoints, settings.Nodes = true, 300
	tenths := map[time.Duration]bool{} // the tenths of the span in which calls start, by their start
	for node := range 100 {
		settings.Node = node
		host := newFakeHost()
		balancer, err := New(settings, uint64(node), host)
		if err != nil {
			t.Fatalf("New for node %d of %d: %v", node, settings.Nodes, err)
		}
		for range 5 {
			host.timers = nil
			balancer.WatchFailed(time.Hour, failureWith(time.Hour, remainingTime))
			if len(host.timers) != 1 || host.timers[0].token != timerWatch || host.timers[0].at > time.Hour+span {
				t.Fatalf("node %d: WatchFailed with %v until the deadline set the timers %v, want one with token %d by %v",
					node, remainingTime, host.timers, timerWatch, time.Hour+span)
			}
			tenths[host.timers[0].at.Truncate(span/10)] = true
		}
	}
	if len(tenths) < 8 {
		t.Errorf("tenths of %v in which calls of 100 nodes start: got %d, want at least 8", span, len(tenths))
	}
}

// Guards against a burst of first calls by many nodes, and against a node without endpoints that delays its first call.
func TestFirstWatchStartsAtOnceForFewNodesOrWithoutEndpoints(t *testing.T) {
	for _, tc := range []struct {
		nodes   int
		entries []Endpoint
		atOnce  bool
	}{{3, readyEndpoints(1, 10), true}, {80, nil, true}, {80, readyEndpoints(1, 10), false}} {
		settings := testSettings()
		settings.Nodes, settings.PollEndpoints = tc.nodes, true
		host := newFakeHost()
		balancer, err := New(settings, 1, host)
		if err != nil {
			t.Fatalf("New with %d nodes: %v", tc.nodes, err)
		}

		balancer.UpdateEndpoints(time.Hour, UpdateCached, tc.entries)

		if atOnce := host.watches == 1; atOnce != tc.atOnce {
			t.Errorf("first watch at once with %d nodes and %d cached endpoints: got %v, want %v",
				tc.nodes, len(tc.entries), atOnce, tc.atOnce)
		}
		latest := time.Hour + settings.Rules.MaxPollInterval/2
		if !tc.atOnce && (len(host.timers) != 1 || host.timers[0].at > latest) {
			t.Errorf("timers with %d nodes and %d cached endpoints: got %v, want one by %v",
				tc.nodes, len(tc.entries), host.timers, latest)
		}
	}
}

func TestWatchBackoffDoublesUpToItsLimitAndIsReset(t *testing.T) {
	settings := testSettings() // one node; MaxPollInterval is 10 s
	schedule := newWatchSchedule(&settings, rand.New(rand.NewPCG(1, 0)))
	const remainingTime = time.Hour

	first := schedule.nextBackoff(0, failureWith(0, remainingTime))
	var waits []time.Duration
	for range 4 {
		waits = append(waits, schedule.nextBackoff(0, failureWith(0, remainingTime)))
	}
	schedule.reset()
	firstAfterReset := schedule.nextBackoff(0, failureWith(0, remainingTime))

	want := []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 3 * time.Second}
	if !slices.Equal(waits, want) {
		t.Errorf("backoffs 2 to 5: got %v, want %v", waits, want)
	}
	if first > initialWatchBackoff || firstAfterReset > initialWatchBackoff {
		t.Errorf("first backoff: got %v, and %v after reset; want at most %v",
			first, firstAfterReset, initialWatchBackoff)
	}
}
