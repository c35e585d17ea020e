package node

import (
	"fmt"
	"net"
	"testing"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/internal/testkit"
)

// crowd is how many clients leave together: more than a loop's event queue has room left.
const crowd = 300

// Hundreds ask a node whose loop is held up and leave again, until its queue is full and the
// rest of the news waits outside: none of them is sent on, all are forgotten.
func TestCrowdLeavesBehindAFullQueue(t *testing.T) {
	b := testkit.NewBackend(t, testkit.OK)
	s := serve(t, b.Endpoint("s-0"), b.Endpoint("s-1"), b.Endpoint("s-2"), b.Endpoint("s-3"))
	l := s.loop
	l.open(t, 0, 0) // the list is known
	reached, release := l.hold(t)
	testkit.Wait(t, reached, "the loop")
	var clients []*net.TCPConn
	for range crowd {
		clients = append(clients, s.asks([]string{"read", "push", "pay"}[len(clients)%3], ""))
	}
	testkit.Until(t, "the requests", func() bool { return len(l.events) == crowd })
	var all []*request
	l.post(eventFunc(func(time.Duration) {
		for _, r := range l.requests {
			all = append(all, r)
		}
	}))
	for len(l.events) < cap(l.events)-crowd/3 {
		l.post(eventFunc(func(time.Duration) {}))
	}
	for i, leave := 0, []func(*net.TCPConn){
		func(nc *net.TCPConn) { nc.Close() }, func(nc *net.TCPConn) { nc.SetLinger(0); nc.Close() },
	}; i < crowd; i++ {
		leave[i%2](clients[i])
	}
	for _, client := range clients {
		s.shows(client)
	}
	testkit.Until(t, "a full queue", func() bool { return len(l.events) == cap(l.events) })
	release()
	s.forgotten()
	if n := begun(all...); len(all) != crowd || n > 0 || len(b.Requests) > 0 {
		t.Errorf("%d of %d attempts began, %d arrived", n, len(all), len(b.Requests))
	}
}

// Hundreds leave at once from mixed points: held, out, waiting for a retry or with a
// connection being opened, which then comes up, while the module has all retries fall due
// and room falls free, before the loop hears of the first: none of their attempts begins.
func TestCrowdLeavesAtMixedPoints(t *testing.T) {
	t.Parallel()
	far, bad, mute := testkit.NewStuckServer(t), testkit.NewBackend(t, testkit.ServerError), testkit.NewBackend(t, testkit.Silent(nil))
	var list []endpoint.Endpoint
	for i := range 90 {
		list = append(list, []func(string) endpoint.Endpoint{far.Endpoint, bad.Endpoint, mute.Endpoint}[i%3](fmt.Sprintf("s-%d", i)))
	}
	s := serve(t, list...)
	l := s.loop
	var clients []*net.TCPConn
	for range crowd {
		clients = append(clients, s.asks([]string{"read", "push"}[len(clients)%2], ""))
	}
	// Held up once nothing is on its way: each attempt is out, or waits for its connection.
	points := map[string]int{}
	var all []*request
	var release func()
	testkit.Until(t, "all requests at rest", func() bool {
		reached, on := l.hold(t)
		testkit.Wait(t, reached, "the loop")
		clear(points)
		all = all[:0]
		for _, r := range l.requests {
			all = append(all, r)
			point := "held"
			for _, a := range r.attempts {
				switch addr := l.pool.Stats().Servers[a.server].Address; {
				case a.reported:
					point = "between"
				case addr == far.Addr().String():
					point = "dialling"
				case addr == mute.Listener.Addr().String() && a.call.Started():
					point = "out"
				default:
					point = "moving"
				}
			}
			points[point]++
		}
		release = on
		if len(all) == crowd && points["moving"] == 0 {
			return true
		}
		on()
		return false
	})
	l.post(eventFunc(l.due))
	for _, client := range clients {
		client.Close()
	}
	for _, client := range clients {
		s.shows(client)
	}
	decided, before := 0, begun(all...)
	for _, r := range all {
		decided -= len(r.attempts)
	}
	far.Admit()
	s.up(points["dialling"], far.Addr())
	release()
	s.forgotten()
	l.then(t, func() {
		for _, r := range all {
			decided += len(r.attempts)
		}
		late := begun(all...) - before
		t.Logf("%v; %d attempts began before their clients were gone; then %d were decided, %d began", points, before, decided, late)
		if late > 0 || len(points) != 4 {
			t.Error("late attempts, or not all points were met")
		}
	})
}
