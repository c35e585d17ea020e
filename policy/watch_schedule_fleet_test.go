package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// discoveryService simulates the service that many Balancers watch. It answers calls in turn, also those that
// were given up, like the service that was measured. While it is down it rejects calls, at once or late, or
// stays silent.
type discoveryService struct {
	perCall      time.Duration
	callTimeout  time.Duration // a call that waits longer has failed
	watchTimeout time.Duration // a call waits so long for changes; 0: it is answered at once
	busyUntil    time.Duration // when the last call in the queue is answered

	downAt, upAt time.Duration   // it is down between these
	rejectAfter  time.Duration   // how long it takes to reject a call meanwhile
	callsForNews []time.Duration // of nodes that are not notified since its return
}

// call returns when a call made now ends, and whether with an answer. The service has changes as of its return,
// of which a node that is not informed is notified at once.
func (d *discoveryService) call(now time.Duration, informed bool) (time.Duration, bool) {
	if !informed {
		d.callsForNews = append(d.callsForNews, now)
	}
	if d.downAt <= now && now < d.upAt {
		return now + d.rejectAfter, false
	}
	d.busyUntil = max(d.busyUntil, now) + d.perCall
	answer := d.busyUntil
	if now >= d.upAt && !informed || d.watchTimeout == 0 {
		if answer-now > d.callTimeout {
			return now + d.callTimeout, false
		}
		return answer, true
	}
	answer += d.watchTimeout
	if now < d.downAt && answer > d.downAt { // a watch ends as the service goes down
		return d.downAt, false
	}
	return answer, true
}

// peakCalls returns the most calls within a second from a time on.
func (d *discoveryService) peakCalls(from time.Duration) (most int) {
	first := 0
	for i, at := range d.callsForNews {
		for d.callsForNews[first] < max(from, at-time.Second+1) && first < i {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// watchingNode is a node that calls a discoveryService.
type watchingNode struct {
	*fakeHost
	balancer     *Balancer
	callsSeen    int // calls that the service has got
	calledAt     time.Duration
	answeredAt   time.Duration
	callSucceeds bool // the call under way
	calling      bool
	notifiedAt   time.Duration // of the changes since the return of the service
	watchesOn    bool          // an answer is followed by another call
}

// step runs one node up to now.
func (m *watchingNode) step(t *testing.T, now time.Duration, d *discoveryService) {
	t.Helper()
	m.fire(m.balancer, now)
	if m.calling && now >= m.answeredAt {
		m.calling = false
		if m.callSucceeds {
			if m.notifiedAt == 0 && m.calledAt >= d.upAt {
				m.notifiedAt = now
			}
			m.balancer.UpdateEndpoints(now, UpdateDelta, nil)
			if m.watchesOn {
				m.watches++
			}
		} else {
			m.balancer.WatchFailed(now, m.calledAt+NotificationDeadline)
		}
	}
	if m.watches > m.callsSeen {
		if m.calling {
			t.Fatalf("%v: a node calls again while its call is under way", now)
		}
		m.callsSeen = m.watches
		m.calledAt = now
		m.answeredAt, m.callSucceeds = d.call(now, m.notifiedAt > 0)
		m.calling = true
	}
}

// newWatchingNodes returns nodes that start at the same time with the same cached list.
func newWatchingNodes(t *testing.T, nodes int, change func(settings *Settings)) (fleet []*watchingNode) {
	t.Helper()
	for i := range nodes {
		settings := testSettings()
		settings.Nodes, settings.Node, settings.PollEndpoints = nodes, i, true
		if change != nil {
			change(&settings)
		}
		m := &watchingNode{fakeHost: newHost()}
		balancer, err := New(settings, uint64(i+1), m)
		if err != nil {
			t.Fatal(err)
		}
		m.balancer = balancer
		balancer.UpdateEndpoints(time.Hour, UpdateCached, ready(1, 60))
		fleet = append(fleet, m)
	}
	return fleet
}

// Guards against nodes that call at the same time: of 80 that started together 49 got no list for 20 s. Their
// first calls timed out and were repeated before the service had answered all of those in its queue, and
// so on.
func TestAllNodesOfAReleaseGetTheEndpointList(t *testing.T) {
	const nodes = 80
	d := &discoveryService{perCall: 65 * ms, callTimeout: 2 * time.Second}
	fleet := newWatchingNodes(t, nodes, nil)
	for now := time.Hour; now < time.Hour+12*time.Second; now += 5 * ms {
		for _, m := range fleet {
			m.step(t, now, d)
		}
	}
	without := 0
	for _, m := range fleet {
		if m.notifiedAt == 0 {
			without++
		}
	}
	if without > 0 {
		t.Fatalf("%d of %d nodes have no list 12 s after their start", without, nodes)
	}
}

// outage is a time in which a discoveryService is down.
type outage struct {
	name        string
	duration    time.Duration
	rejectAfter time.Duration // of a call; 4.5 s is when a node gives a call up
}

// watchTimeout is how long the real nodes ask the service to wait for changes.
const watchTimeout = 3 * time.Second

// The discovery service is down for a while, in several ways, and returns with changes: every node must be
// notified 6 s later, whatever its calls have met. That must not cause a rush: a service that carries the
// watches of 650 nodes, 217 calls per second, has to carry their return with half as many again. Each node
// makes two calls then: it is notified, and watches on.
func TestEveryNodeIsNotifiedAfterDiscoveryReturns(t *testing.T) {
	for _, down := range []outage{
		{"rejects", 9 * time.Second, 0},
		{"rejects for a moment", 10 * ms, 0},
		{"rejects late", 9 * time.Second, 3 * time.Second},
		{"silent", 9 * time.Second, watchTimeout * 3 / 2},
	} {
		for _, nodes := range []int{1, 3, 20, 300, 650} {
			t.Run(fmt.Sprintf("%s/%d", down.name, nodes), func(t *testing.T) {
				t.Parallel()
				checkReturn(t, down, nodes)
			})
		}
	}
}

func checkReturn(t *testing.T, down outage, nodes int) {
	d := &discoveryService{
		perCall: 3 * ms, callTimeout: watchTimeout * 3 / 2, watchTimeout: watchTimeout,
		downAt: time.Hour + 8*time.Second, rejectAfter: down.rejectAfter,
	}
	d.upAt = d.downAt + down.duration
	fleet := newWatchingNodes(t, nodes, func(settings *Settings) {
		settings.Rules.MaxPollInterval = 30 * time.Second
	})
	for now := time.Hour; now < d.upAt+8*time.Second; now += 5 * ms {
		for _, m := range fleet {
			m.watchesOn = true
			m.step(t, now, d)
		}
	}
	lags := notificationLags(fleet, d.upAt)
	worst := lags[nodes-1]
	idle := nodes * int(time.Second) / int(watchTimeout)
	peak, most := d.peakCalls(d.upAt), 3*max(idle, int(time.Second/watchSpreadPerNode))/2
	t.Logf("lag: median %v, worst %v; peak %d calls of nodes not notified per second, idle watches %d",
		lags[nodes/2], worst, peak, idle)
	if worst >= NotificationDeadline {
		t.Errorf("the last node is notified %v after the return", worst)
	}
	if peak > most {
		t.Errorf("%d calls in a second, over %d", peak, most)
	}
}

// notificationLags returns the sorted times from the return of the service until each node is notified; an
// hour for those that are not.
func notificationLags(fleet []*watchingNode, upAt time.Duration) []time.Duration {
	var lags []time.Duration
	for _, m := range fleet {
		if m.notifiedAt == 0 {
			m.notifiedAt = upAt + time.Hour
		}
		lags = append(lags, m.notifiedAt-upAt)
	}
	slices.Sort(lags)
	return lags
}
