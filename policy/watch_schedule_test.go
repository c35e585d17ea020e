package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

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

// A watch that becomes unresponsive is repeated in the time left until the notification deadline. The nodes of a
// fleet repeat it at different times, and the backoff does not grow beyond the time left.
func TestUnresponsiveWatchIsRepeatedBeforeNotificationDeadline(t *testing.T) {
	const remainingTime = NotificationDeadline / 4 // time until the notification deadline
	const span = NotificationDeadline / 8          // time within which the next call must start
	settings := testSettings()
	settings.PollEndpoints, settings.Nodes = true, 300
	tenths := map[time.Duration]bool{} // of the span, in which calls start
	for node := range 100 {
		settings.Node = node
		host := newFakeHost()
		balancer, err := New(settings, uint64(node), host)
		if err != nil {
			t.Fatal(err)
		}
		for range 5 {
			host.timers = nil
			balancer.WatchFailed(time.Hour, time.Hour+remainingTime)
			if len(host.timers) != 1 || host.timers[0].token != timerWatch || host.timers[0].at > time.Hour+span {
				t.Fatalf("timers %v", host.timers)
			}
			tenths[host.timers[0].at.Truncate(span/10)] = true
		}
	}
	if len(tenths) < 8 {
		t.Errorf("the calls fall into %d tenths of the span", len(tenths))
	}
}

func TestFewNodesOrEmptyListWatchAtOnce(t *testing.T) {
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
			t.Fatal(err)
		}

		balancer.UpdateEndpoints(time.Hour, UpdateCached, tc.entries)

		if atOnce := host.watches == 1; atOnce != tc.atOnce {
			t.Errorf("%d nodes, %d servers known: watches at once: %v, want %v",
				tc.nodes, len(tc.entries), atOnce, tc.atOnce)
		}
		latest := time.Hour + settings.Rules.MaxPollInterval/2
		if !tc.atOnce && (len(host.timers) != 1 || host.timers[0].at > latest) {
			t.Errorf("timers %v, want one by %v", host.timers, latest)
		}
	}
}

func TestWatchBackoffDoublesUpToItsBoundAndIsReset(t *testing.T) {
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
		t.Errorf("waits %v after the first, want %v", waits, want)
	}
	if first > initialWatchBackoff || firstAfterReset > initialWatchBackoff {
		t.Errorf("first waits %v and %v, want %v at most", first, firstAfterReset, initialWatchBackoff)
	}
}
