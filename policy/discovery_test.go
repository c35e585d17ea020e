package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// registry is a discovery service in a world of many Balancers. It takes calls in turn, and
// works off those that were given up too, as the service that was measured does. While it is
// down it turns calls away, after a while or at once, or says nothing.
type registry struct {
	perCall  time.Duration
	patience time.Duration // a call that waits longer has failed
	holds    time.Duration // a call waits so long for news; 0: it is answered at once
	busy     time.Duration // the queue is worked off then

	down, up time.Duration   // from when to when it is away
	refusal  time.Duration   // how long it takes to turn a call away then
	calls    []time.Duration // of those who have no news since its return
}

// call gives when a call made now ends, and whether with an answer. Its news are of the time
// when it returned, if it was away: they are told at once to all who call from then on.
func (d *registry) call(now time.Duration, informed bool) (time.Duration, bool) {
	if !informed {
		d.calls = append(d.calls, now)
	}
	if d.down <= now && now < d.up {
		return now + d.refusal, false
	}
	d.busy = max(d.busy, now) + d.perCall
	answer := d.busy
	if now >= d.up && !informed || d.holds == 0 {
		if answer-now > d.patience {
			return now + d.patience, false
		}
		return answer, true
	}
	answer += d.holds
	if now < d.down && answer > d.down { // a watch ends as discovery goes down
		return d.down, false
	}
	return answer, true
}

// peak gives the most calls in a second from a time on.
func (d *registry) peak(from time.Duration) (most int) {
	first := 0
	for i, at := range d.calls {
		for d.calls[first] < max(from, at-time.Second+1) && first < i {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// member is one node of that world.
type member struct {
	*fakeHost
	b        *Balancer
	wanted   int // calls that discovery has been told of
	began    time.Duration
	answer   time.Duration
	answered bool // by the call under way
	waiting  bool
	told     time.Duration // when it first had what discovery has had since its return
	rewatch  bool          // an answer is followed by another watch
}

// step plays one node up to now.
func (m *member) step(t *testing.T, now time.Duration, d *registry) {
	t.Helper()
	m.fire(m.b, now)
	if m.waiting && now >= m.answer {
		m.waiting = false
		if m.answered {
			if m.told == 0 && m.began >= d.up {
				m.told = now
			}
			m.b.UpdateEndpoints(now, UpdateDelta, nil)
			if m.rewatch {
				m.watches++
			}
		} else {
			m.b.WatchFailed(now, m.began+NotificationDeadline)
		}
	}
	if m.watches > m.wanted {
		if m.waiting {
			t.Fatalf("%v: a node calls again while its call is out", now)
		}
		m.wanted = m.watches
		m.began = now
		m.answer, m.answered = d.call(now, m.told > 0)
		m.waiting = true
	}
}

// newFleet gives nodes that start in step, with a list that they know.
func newFleet(t *testing.T, nodes int, change func(set *Settings)) (fleet []*member) {
	t.Helper()
	for i := range nodes {
		set := testSettings()
		set.Nodes, set.Node, set.PollEndpoints = nodes, i, true
		if change != nil {
			change(&set)
		}
		m := &member{fakeHost: newHost()}
		b, err := New(set, uint64(i+1), m)
		if err != nil {
			t.Fatal(err)
		}
		m.b = b
		b.UpdateEndpoints(time.Hour, UpdateCached, ready(1, 60))
		fleet = append(fleet, m)
	}
	return fleet
}

// Guards against nodes that ask for the list in step: of 80 that started together 49 got none
// for 20 s. Their first calls waited too long, came again before discovery had worked off the
// queue of those, and so on. The others, which share nothing with them, held theirs.
func TestAllNodesOfAReleaseGetTheList(t *testing.T) {
	const nodes = 80
	d := &registry{perCall: 65 * ms, patience: 2 * time.Second}
	fleet := newFleet(t, nodes, nil)
	for now := time.Hour; now < time.Hour+12*time.Second; now += 5 * ms {
		for _, m := range fleet {
			m.step(t, now, d)
		}
	}
	without := 0
	for _, m := range fleet {
		if m.told == 0 {
			without++
		}
	}
	if without > 0 {
		t.Fatalf("%d of %d nodes have no list 12 s after their start", without, nodes)
	}
}

// Discovery is away for a while, in several ways, and comes back with news: they count as told
// 6 s later, whatever the calls to it have met. That must not come at the price of a rush: one
// discovery has to carry the return of 650 nodes that carries their watches, 217 calls a second,
// and half as many again. Each node makes two calls then: it gets the news, and watches on.
func TestNewsOfADiscoveryThatReturns(t *testing.T) {
	const holds = 3 * time.Second // as the real nodes ask
	for _, away := range []struct {
		name    string
		span    time.Duration
		refusal time.Duration // a call's; 4.5 s is when a node gives its watch up
	}{
		{"refused", 9 * time.Second, 0},
		{"refused for a moment", 10 * ms, 0},
		{"turned away in turn", 9 * time.Second, 3 * time.Second},
		{"silent", 9 * time.Second, holds * 3 / 2},
	} {
		for _, nodes := range []int{1, 3, 20, 300, 650} {
			t.Run(fmt.Sprintf("%s/%d", away.name, nodes), func(t *testing.T) {
				t.Parallel()
				d := &registry{
					perCall: 3 * ms, patience: holds * 3 / 2, holds: holds,
					down: time.Hour + 8*time.Second, refusal: away.refusal,
				}
				d.up = d.down + away.span
				fleet := newFleet(t, nodes, func(set *Settings) { set.Rules.MaxPollInterval = 30 * time.Second })
				for now := time.Hour; now < d.up+8*time.Second; now += 5 * ms {
					for _, m := range fleet {
						m.rewatch = true
						m.step(t, now, d)
					}
				}
				var lags []time.Duration
				for _, m := range fleet {
					if m.told == 0 {
						m.told = d.up + time.Hour
					}
					lags = append(lags, m.told-d.up)
				}
				slices.Sort(lags)
				idle := nodes * int(time.Second) / int(holds)
				peak, most := d.peak(d.up), 3*max(idle, int(time.Second/watchSpreadPerNode))/2
				t.Logf("lag: median %v, worst %v; peak %d calls for news a second, idle watches %d", lags[nodes/2], lags[nodes-1], peak, idle)
				if lags[nodes-1] >= NotificationDeadline {
					t.Errorf("the last node is told %v after the return", lags[nodes-1])
				}
				if peak > most {
					t.Errorf("%d calls in a second, over %d", peak, most)
				}
			})
		}
	}
}
