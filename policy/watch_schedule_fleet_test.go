package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// simulatedDiscovery simulates a discovery service that many nodes call. It serves the calls one after another, even
// those that their nodes have abandoned. While it is down, each call fails after failureDelay, either because the
// service rejects it or because the node abandons it.
type simulatedDiscovery struct {
	serviceTime  time.Duration // time that the service spends on each call
	callTimeout  time.Duration // time after which a node abandons a call
	watchTimeout time.Duration // time that a call waits for changes; 0: calls do not wait
	busyUntil    time.Duration // time by which the service has served all calls so far

	downAt, recoversAt time.Duration   // the service is down from downAt until recoversAt
	failureDelay       time.Duration   // time after which a call fails during the outage
	unnotifiedCalls    []time.Duration // start times of the calls by nodes that were not notified yet
}

// discoveryCall is a call of a node to the discovery service.
type discoveryCall struct {
	startedAt time.Duration
	endsAt    time.Duration
	succeeds  bool
}

// call starts a call of a node and returns when and how it ends. From its recovery on, the service has changes. A call
// by a node that has not been notified of the changes returns without waiting.
func (d *simulatedDiscovery) call(now time.Duration, node *watchingNode) discoveryCall {
	notified := node.notifiedAt > 0
	if !notified {
		d.unnotifiedCalls = append(d.unnotifiedCalls, now)
	}
	if d.downAt <= now && now < d.recoversAt {
		return discoveryCall{startedAt: now, endsAt: now + d.failureDelay}
	}
	d.busyUntil = max(d.busyUntil, now) + d.serviceTime
	returnsAt := d.busyUntil
	if now >= d.recoversAt && !notified || d.watchTimeout == 0 {
		if returnsAt-now > d.callTimeout {
			return discoveryCall{startedAt: now, endsAt: now + d.callTimeout}
		}
		return discoveryCall{startedAt: now, endsAt: returnsAt, succeeds: true}
	}
	returnsAt += d.watchTimeout
	if now < d.downAt && returnsAt > d.downAt { // an idle watch fails when the service goes down
		return discoveryCall{startedAt: now, endsAt: d.downAt}
	}
	return discoveryCall{startedAt: now, endsAt: returnsAt, succeeds: true}
}

// peakCallRate returns the largest number of calls within one second, from the given time on, by nodes that were not
// notified yet.
func (d *simulatedDiscovery) peakCallRate(from time.Duration) int {
	peak, first := 0, 0
	for i, at := range d.unnotifiedCalls {
		for d.unnotifiedCalls[first] < max(from, at-time.Second+1) && first < i {
			first++
		}
		peak = max(peak, i-first+1)
	}
	return peak
}

// watchingNode is the Host of a Balancer that watches a simulatedDiscovery.
type watchingNode struct {
	*fakeHost
	balancer     *Balancer
	callsStarted int // number of WatchEndpoints calls that have started a call of the service
	currentCall  discoveryCall
	missedSince  time.Duration // start of the first call since the last list; 0: there is none
	failures     int           // failed calls since the last list
	callInFlight bool          // currentCall has not ended
	notifiedAt   time.Duration // when the node got the changes since the recovery; 0: not yet
	watchesAgain bool          // each successful call is followed by another call
}

// step runs the node's due timers, ends its call if it is due to end and starts the call that the Balancer has
// requested.
func (n *watchingNode) step(t *testing.T, now time.Duration, d *simulatedDiscovery) {
	t.Helper()
	n.runDueTimers(n.balancer, now)
	if n.callInFlight && now >= n.currentCall.endsAt {
		n.callInFlight = false
		n.endCall(now, d)
	}
	if n.watches > n.callsStarted {
		if n.callInFlight {
			t.Fatalf("at %v: WatchEndpoints called while the call that started at %v is in flight",
				now, n.currentCall.startedAt)
		}
		n.callsStarted = n.watches
		if n.missedSince == 0 {
			n.missedSince = now
		}
		n.currentCall = d.call(now, n)
		n.callInFlight = true
	}
}

// endCall reports the end of the current call to the Balancer. If watchesAgain is set, a successful call is followed by
// another call.
func (n *watchingNode) endCall(now time.Duration, d *simulatedDiscovery) {
	if !n.currentCall.succeeds {
		n.balancer.WatchFailed(now, n.failure(now))
		return
	}
	n.missedSince, n.failures = 0, 0
	if n.notifiedAt == 0 && n.currentCall.startedAt >= d.recoversAt {
		n.notifiedAt = now
	}
	n.balancer.UpdateEndpoints(now, UpdateDelta, nil)
	if n.watchesAgain {
		n.watches++
	}
}

// failure returns what discovery reports of the current call, which has failed.
func (n *watchingNode) failure(now time.Duration) WatchFailure {
	n.failures++
	failure := WatchFailure{First: n.failures == 1, CallNotifiedAt: n.currentCall.startedAt + NotificationDeadline}
	failure.NotifiedAt = failure.CallNotifiedAt
	if missed := n.missedSince + NotificationDeadline; missed > now {
		failure.NotifiedAt = missed
	}
	return failure
}

// newWatchingNodes returns nodes that start at the same time with the same cached endpoint list.
func newWatchingNodes(t *testing.T, nodes int, maxPollInterval time.Duration) []*watchingNode {
	t.Helper()
	var fleet []*watchingNode
	for i := range nodes {
		settings := testSettings()
		settings.Nodes, settings.Node, settings.PollEndpoints = nodes, i, true
		settings.Rules.MaxPollInterval = maxPollInterval
		node := &watchingNode{fakeHost: newFakeHost()}
		balancer, err := New(settings, uint64(i+1), node)
		if err != nil {
			t.Fatalf("New for node %d of %d: %v", i, nodes, err)
		}
		node.balancer = balancer
		balancer.UpdateEndpoints(time.Hour, UpdateCached, readyEndpoints(1, 60))
		fleet = append(fleet, node)
	}
	return fleet
}

// Guards against many nodes that start together, as in a release, and call the discovery service at the same time.
// Their calls would time out and be repeated before the service has served its queue, so that some nodes would get no
// endpoint list for a long time.
func TestNodesThatStartTogetherAllGetTheEndpointList(t *testing.T) {
	const nodes = 80
	d := &simulatedDiscovery{serviceTime: 65 * ms, callTimeout: 2 * time.Second}
	fleet := newWatchingNodes(t, nodes, 10*time.Second)
	for now := time.Hour; now < time.Hour+12*time.Second; now += 5 * ms {
		for _, node := range fleet {
			node.step(t, now, d)
		}
	}
	notNotified := 0
	for _, node := range fleet {
		if node.notifiedAt == 0 {
			notNotified++
		}
	}
	if notNotified > 0 {
		t.Fatalf("nodes without an endpoint list 12 s after they started together: got %d of %d, want 0",
			notNotified, nodes)
	}
}

// outage is a period in which a simulatedDiscovery is down.
type outage struct {
	name         string
	duration     time.Duration
	failureDelay time.Duration // time after which a call fails; with nodeCallTimeout, the node abandons it
}

const (
	watchTimeout    = 3 * time.Second      // time that the calls of nodes in production wait for changes
	nodeCallTimeout = watchTimeout * 3 / 2 // time after which nodes in production abandon a call
)

// Guards against late notifications and a burst of calls when the discovery service recovers from an outage with
// changes. Every node must be notified within NotificationDeadline, however its calls failed. The calls until then must
// be spread over time: their peak rate is at most 1.5 times the rate of the idle watches of all nodes, or 1.5 calls per
// watchSpreadPerNode if that is more. The recovery thus needs 1.5 times the capacity that the idle watches need. Each
// node makes two calls during the recovery: one that notifies it, and the next watch.
func TestEveryNodeIsNotifiedInTimeAfterDiscoveryRecovers(t *testing.T) {
	t.Parallel()
	for _, down := range []outage{
		{"rejects calls at once for 9s", 9 * time.Second, 0},
		{"rejects calls at once for 10ms", 10 * ms, 0},
		{"rejects calls after 3s", 9 * time.Second, 3 * time.Second},
		{"unresponsive", 9 * time.Second, nodeCallTimeout},
	} {
		for _, nodes := range []int{1, 3, 20, 300, 650} {
			t.Run(fmt.Sprintf("%s, %d nodes", down.name, nodes), func(t *testing.T) {
				t.Parallel()
				checkRecovery(t, down, nodes)
			})
		}
	}
}

// checkRecovery runs nodes through an outage. It checks when they are notified, and how many calls they make in a
// second until then.
func checkRecovery(t *testing.T, outage outage, nodes int) {
	t.Helper()
	d := &simulatedDiscovery{
		serviceTime: 3 * ms, callTimeout: nodeCallTimeout, watchTimeout: watchTimeout,
		downAt: time.Hour + 8*time.Second, failureDelay: outage.failureDelay,
	}
	d.recoversAt = d.downAt + outage.duration
	fleet := newWatchingNodes(t, nodes, 30*time.Second)
	for _, node := range fleet {
		node.watchesAgain = true
	}
	for now := time.Hour; now < d.recoversAt+8*time.Second; now += 5 * ms {
		for _, node := range fleet {
			node.step(t, now, d)
		}
	}
	delays := notificationDelays(fleet, d.recoversAt)
	worst := delays[nodes-1]
	idleWatches := nodes * int(time.Second) / int(watchTimeout) // calls per second without changes
	peak := d.peakCallRate(d.recoversAt)
	maxPeak := 3 * max(idleWatches, int(time.Second/watchSpreadPerNode)) / 2
	t.Logf("notified after the recovery: median %v, worst %v; calls per second until then: peak %d, idle watches %d",
		delays[nodes/2], worst, peak, idleWatches)
	if worst >= NotificationDeadline {
		t.Errorf("last notification after the recovery: got %v, want less than %v", worst, NotificationDeadline)
	}
	if peak > maxPeak {
		t.Errorf("peak calls in one second after the recovery: got %d, want at most %d", peak, maxPeak)
	}
}

// notificationDelays returns the times from the recovery of the service until each node was notified, sorted. A node
// that was not notified counts as one hour.
func notificationDelays(fleet []*watchingNode, recoversAt time.Duration) []time.Duration {
	var delays []time.Duration
	for _, node := range fleet {
		if node.notifiedAt == 0 {
			node.notifiedAt = recoversAt + time.Hour
		}
		delays = append(delays, node.notifiedAt-recoversAt)
	}
	slices.Sort(delays)
	return delays
}
