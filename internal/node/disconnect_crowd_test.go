package node

import (
	"fmt"
	"net"
	"testing"
	"time"

	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
)

// crowdSize is how many clients disconnect together: more than the free capacity of the loop's
// event queue in these tests.
const crowdSize = 300

// Hundreds send requests to a node whose loop is paused and disconnect, until its queue is full
// and further events wait outside: no request is forwarded, all are released.
func TestManyDisconnectsBehindAFullEventQueue(t *testing.T) {
	b := testkit.NewBackend(t, testkit.OK)
	s := startHandler(t, b.Endpoint("s-0"), b.Endpoint("s-1"), b.Endpoint("s-2"), b.Endpoint("s-3"))
	l := s.loop
	l.awaitRequests(t, 0, 0) // the list is known
	reached, release := l.pause(t)
	testkit.Wait(t, reached, "the loop")
	var clients []*net.TCPConn
	for range crowdSize {
		clients = append(clients, s.sendOnNewConn([]string{"read", "push", "pay"}[len(clients)%3], ""))
	}
	testkit.Until(t, "the requests", func() bool { return len(l.queue.posted) == crowdSize })
	var all []*request
	l.queue.post(eventFunc(func(time.Duration) {
		for _, r := range l.requests.active {
			all = append(all, r)
		}
	}))
	for len(l.queue.posted) < cap(l.queue.posted)-crowdSize/3 {
		l.queue.post(eventFunc(func(time.Duration) {}))
	}
	for i, leave := 0, []func(*net.TCPConn){
		func(nc *net.TCPConn) { closeConn(nc) }, func(nc *net.TCPConn) { resetConn(nc) },
	}; i < crowdSize; i++ {
		leave[i%2](clients[i])
	}
	for _, client := range clients {
		s.awaitDisconnect(client)
	}
	testkit.Until(t, "a full queue", func() bool { return len(l.queue.posted) == cap(l.queue.posted) })
	release()
	s.awaitNoRequests()
	if n := startedAttempts(all...); len(all) != crowdSize || n > 0 || len(b.Requests) > 0 {
		t.Errorf("%d of %d attempts began, %d arrived", n, len(all), len(b.Requests))
	}
}

// Hundreds disconnect at once, from requests that are queued, in flight, waiting for a retry or
// for a connection, which then comes up, while all retries fall due and capacity becomes free,
// before the loop learns of the first disconnect: none of their attempts starts.
func TestManyDisconnectsInMixedRequestStates(t *testing.T) {
	t.Parallel()
	servers := mixedServers{testkit.NewStuckServer(t), testkit.NewBackend(t, testkit.ServerError), testkit.NewBackend(t, testkit.Unresponsive(nil))}
	s := startHandler(t, servers.endpoints(90)...)
	l := s.loop
	var clients []*net.TCPConn
	for range crowdSize {
		clients = append(clients, s.sendOnNewConn([]string{"read", "push"}[len(clients)%2], ""))
	}
	states, all, resume := s.pauseAtRest(servers)
	l.queue.post(eventFunc(l.advanceClock))
	for _, client := range clients {
		closeConn(client)
	}
	for _, client := range clients {
		s.awaitDisconnect(client)
	}
	startedBefore, attemptsBefore := startedAttempts(all...), countAttempts(all)
	servers.stuck.Admit()
	s.awaitIdleConns(states[stateDialing], servers.stuck.Addr())
	resume()
	s.awaitNoRequests()
	l.inLoop(t, func() {
		late := startedAttempts(all...) - startedBefore
		t.Logf("%v; %d attempts started before the disconnects; then %d were decided, %d started",
			states, startedBefore, countAttempts(all)-attemptsBefore, late)
		if late > 0 || len(states) != 4 {
			t.Error("late attempts, or not all states were met")
		}
	})
}

// mixedServers respond in three ways: not at all before a connection, with errors, and never.
type mixedServers struct {
	stuck         *testkit.StuckServer
	failing, mute *testkit.Backend
}

func (m mixedServers) endpoints(count int) (list []endpointjson.Endpoint) {
	kinds := []func(string) endpointjson.Endpoint{m.stuck.Endpoint, m.failing.Endpoint, m.mute.Endpoint}
	for i := range count {
		list = append(list, kinds[i%len(kinds)](fmt.Sprintf("s-%d", i)))
	}
	return list
}

// The states of a request, by its last attempt.
const (
	stateQueued   = "queued"   // none yet
	stateBackoff  = "backoff"  // it has ended
	stateDialing  = "dialing"  // its connection is being opened
	stateInFlight = "inflight" // it is at a server that does not respond
	stateMoving   = "moving"   // none of these for long
)

func (m mixedServers) state(l *loop, r *request) string {
	state := stateQueued
	for _, a := range r.attempts {
		switch addr := l.pool.Stats().Servers[a.server].Address; {
		case a.state != attemptInFlight:
			state = stateBackoff
		case addr == m.stuck.Addr().String():
			state = stateDialing
		case addr == m.mute.Address() && a.call.Started():
			state = stateInFlight
		default:
			state = stateMoving
		}
	}
	return state
}

// pauseAtRest pauses the loop once all requests have arrived and none is moving. It counts
// them by state.
func (s *handlerServer) pauseAtRest(servers mixedServers) (states map[string]int, all []*request, resume func()) {
	s.t.Helper()
	testkit.Until(s.t, "all requests at rest", func() bool {
		var reached <-chan struct{}
		reached, resume = s.loop.pause(s.t)
		testkit.Wait(s.t, reached, "the loop")
		states, all = map[string]int{}, nil
		for _, r := range s.loop.requests.active {
			all = append(all, r)
			states[servers.state(s.loop, r)]++
		}
		if len(all) == crowdSize && states[stateMoving] == 0 {
			return true
		}
		resume()
		return false
	})
	return states, all, resume
}

func countAttempts(requests []*request) (count int) {
	for _, r := range requests {
		count += len(r.attempts)
	}
	return count
}
