package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// simulatedDiscovery simulates the service that many Balancers watch. It serves its calls one after another, also
// abandoned ones. While it is down, a call fails after rejectAfter: it is rejected at once or late, or its node
// abandons it without a response.
type simulatedDiscovery struct {
	serviceTime  time.Duration
	callTimeout  time.Duration // time after which a call fails
	watchTimeout time.Duration // time that a call waits for changes; 0: it returns at once
	busyUntil    time.Duration // time at which the last call in the queue returns

	downAt, recoversAt time.Duration   // it is down from the first to the second
	failureDelay       time.Duration   // time after which a call fails while it is down
	unnotifiedCalls    []time.Duration // start times of the calls by nodes not notified since it recovered
}

// discoveryCall is a call of a node.
type discoveryCall struct {
	startedAt time.Duration
	endsAt    time.Duration
	succeeds  bool
}

// call starts a call. The service has changes from its recovery on. A node that does not know them is notified at
// once.
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
	if now < d.downAt && returnsAt > d.downAt { // a watch ends as the service goes down
		return discoveryCall{startedAt: now, endsAt: d.downAt}
	}
	return discoveryCall{startedAt: now, endsAt: returnsAt, succeeds: true}
}

// peakCallRate returns the most calls within a second from a time on.
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

// watchingNode is a node that calls a discoveryService.
type watchingNode struct {
	*fakeHost
	balancer     *Balancer
	callsStarted int // calls that the service has got
	currentCall  discoveryCall
	callInFlight bool          // currentCall is in flight
	notifiedAt   time.Duration // of the changes since the service recovered
	watchesAgain bool          // a response is followed by another call
}

// step runs one node up to now.
func (n *watchingNode) step(t *testing.T, now time.Duration, d *simulatedDiscovery) {
	t.Helper()
	n.runDueTimers(n.balancer, now)
	if n.callInFlight && now >= n.currentCall.endsAt {
		n.callInFlight = false
		n.endCall(now, d)
	}
	if n.watches > n.callsStarted {
		if n.callInFlight {
			t.Fatalf("%v: a node calls again while its call is in flight", now)
		}
		n.callsStarted = n.watches
		n.currentCall = d.call(now, n)
		n.callInFlight = true
	}
}

// endCall reports the end of the current call to the Balancer.
func (n *watchingNode) endCall(now time.Duration, d *simulatedDiscovery) {
	if !n.currentCall.succeeds {
		n.balancer.WatchFailed(now, n.currentCall.startedAt+NotificationDeadline)
		return
	}
	if n.notifiedAt == 0 && n.currentCall.startedAt >= d.recoversAt {
		n.notifiedAt = now
	}
	n.balancer.UpdateEndpoints(now, UpdateDelta, nil)
	if n.watchesAgain {
		n.watches++
	}
}

// newWatchingNodes returns nodes that start at the same time with the same cached list.
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
			t.Fatal(err)
		}
		node.balancer = balancer
		balancer.UpdateEndpoints(time.Hour, UpdateCached, readyEndpoints(1, 60))
		fleet = append(fleet, node)
	}
	return fleet
}

// Guards against nodes that call at the same time: their first calls time out and are repeated before the
// service has served all of those in its queue, so that some get no list for long.
func TestAllNodesOfAReleaseGetTheEndpointList(t *testing.T) {
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
		t.Fatalf("%d of %d nodes have no list 12 s after their start", notNotified, nodes)
	}
}

// outage is a time in which a discoveryService is down.
type outage struct {
	name         string
	duration     time.Duration
	failureDelay time.Duration // time after which a call fails; nodeCallTimeout: the node abandons it
}

const (
	watchTimeout    = 3 * time.Second      // time that the calls of the real nodes wait for changes
	nodeCallTimeout = watchTimeout * 3 / 2 // time after which the real nodes abandon a call
)

// The discovery service is down for a while, in several ways, and recovers with changes. Every node must be
// notified within NotificationDeadline, however its calls have failed. The calls must not peak: a service that
// serves the watches of all nodes has to serve their calls after its recovery with half as many again. Each
// node makes two calls then: one that notifies it, and the next watch.
func TestEveryNodeIsNotifiedAfterDiscoveryReturns(t *testing.T) {
	t.Parallel()
	for _, down := range []outage{
		{"rejects", 9 * time.Second, 0},
		{"rejects for a moment", 10 * ms, 0},
		{"rejects late", 9 * time.Second, 3 * time.Second},
		{"unresponsive", 9 * time.Second, nodeCallTimeout},
	} {
		for _, nodes := range []int{1, 3, 20, 300, 650} {
			t.Run(fmt.Sprintf("%s/%d", down.name, nodes), func(t *testing.T) {
				t.Parallel()
				checkRecovery(t, down, nodes)
			})
		}
	}
}

// checkRecovery runs nodes through an outage, and checks when they are notified and how often they call.
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
	idleWatches := nodes * int(time.Second) / int(watchTimeout) // per second
	peak := d.peakCallRate(d.recoversAt)
	maxPeak := 3 * max(idleWatches, int(time.Second/watchSpreadPerNode)) / 2
	t.Logf("lag: median %v, worst %v; peak %d calls of nodes not notified per second, idle watches %d",
		delays[nodes/2], worst, peak, idleWatches)
	if worst >= NotificationDeadline {
		t.Errorf("the last node is notified %v after the recovery", worst)
	}
	if peak > maxPeak {
		t.Errorf("%d calls in a second, over %d", peak, maxPeak)
	}
}

// notificationDelays returns the sorted times from the recovery of the service until each node is notified; an
// hour for those that are not.
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
