package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A failed watch is repeated within half of MaxPollInterval, and the servers of the last endpoint list stay in use.
func TestFailedWatchIsRepeatedAndEndpointListStaysInUse(t *testing.T) {
	settings := testSettings()
	settings.PollEndpoints = true
	h := newHarness(t, settings, 3)
	if h.host.watches != 1 {
		t.Fatalf("the first endpoint list led to %d calls of WatchEndpoints, want 1", h.host.watches)
	}

	for range 2 {
		h.balancer.WatchFailed(h.now, h.now+NotificationDeadline)
	}
	h.advance(settings.Rules.MaxPollInterval / 2)

	if h.host.watches < 2 {
		t.Fatalf("%d calls of WatchEndpoints within %v of failures, want 2 at least",
			h.host.watches, settings.Rules.MaxPollInterval/2)
	}
	if n := len(h.balancer.endpoints.ready); n != 3 {
		t.Fatalf("%d ready servers after failed calls, want the 3 of the last list", n)
	}
}

// An unresponsive watch is repeated in time for the notification deadline: the backoff does not grow beyond the time
// that remains, even after several failures. The nodes of a fleet repeat the watch at different times.
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
			balancer.WatchFailed(time.Hour, time.Hour+remainingTime)
			if len(host.timers) != 1 || host.timers[0].token != timerWatch || host.timers[0].at > time.Hour+span {
				t.Fatalf("node %d: WatchFailed with %v until the deadline set the timers %v, want one with token %d by %v",
					node, remainingTime, host.timers, timerWatch, time.Hour+span)
			}
			tenths[host.timers[0].at.Truncate(span/10)] = true
		}
	}
	if len(tenths) < 8 {
		t.Errorf("the next calls of 100 nodes start in %d tenths of %v, want 8 at least", len(tenths), span)
	}
}

// The first calls of many nodes spread over time, unless a node has no endpoints to work with.
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
			t.Errorf("%d nodes, %d cached endpoints: first watch at once: %v, want %v",
				tc.nodes, len(tc.entries), atOnce, tc.atOnce)
		}
		latest := time.Hour + settings.Rules.MaxPollInterval/2
		if !tc.atOnce && (len(host.timers) != 1 || host.timers[0].at > latest) {
			t.Errorf("%d nodes, %d cached endpoints: timers %v, want one by %v",
				tc.nodes, len(tc.entries), host.timers, latest)
		}
	}
}

func TestWatchBackoffDoublesUpToItsLimitAndIsReset(t *testing.T) {
	settings := testSettings() // one node; MaxPollInterval is 10 s
	schedule := newWatchSchedule(&settings, rand.New(rand.NewPCG(1, 0)))
	const remainingTime = time.Hour

	first := schedule.nextBackoff(remainingTime)
	var waits []time.Duration
	for range 4 {
		waits = append(waits, schedule.nextBackoff(remainingTime))
	}
	schedule.reset()
	firstAfterReset := schedule.nextBackoff(remainingTime)

	want := []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 3 * time.Second}
	if !slices.Equal(waits, want) {
		t.Errorf("backoffs 2 to 5 are %v, want %v", waits, want)
	}
	if first > initialWatchBackoff || firstAfterReset > initialWatchBackoff {
		t.Errorf("the first backoff is %v, and %v after reset, want %v at most",
			first, firstAfterReset, initialWatchBackoff)
	}
}
