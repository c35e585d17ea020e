package node

import (
	"fmt"
	"net"
	"testing"
	"time"

	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
)

// concurrentClients is how many clients disconnect together: more than the free capacity of the loop's
// event queue in these tests.
const concurrentClients = 300

// sendOnNewConns sends a request from each client on a connection of its own, of one class after another.
func (s *handlerServer) sendOnNewConns(classes ...string) []*net.TCPConn {
	s.t.Helper()
	var clients []*net.TCPConn
	for i := range concurrentClients {
		clients = append(clients, s.sendOnNewConn(classes[i%len(classes)], ""))
	}
	return clients
}

// disconnectAll disconnects the clients, in one way after another, and waits until the node's sockets show it.
func (s *handlerServer) disconnectAll(clients []*net.TCPConn, disconnects ...func(*net.TCPConn)) {
	s.t.Helper()
	for i, client := range clients {
		disconnects[i%len(disconnects)](client)
	}
	for _, client := range clients {
		s.awaitDisconnect(client)
	}
}

// Hundreds of clients send requests to a node whose loop is paused, and disconnect. The event queue is full, and
// further events wait to be posted: no request is forwarded, and all are released.
func TestManyDisconnectsWithAFullEventQueue(t *testing.T) {
	b := testkit.NewBackend(t, testkit.OK)
	s := startHandler(t, b.Endpoint("s-0"), b.Endpoint("s-1"), b.Endpoint("s-2"), b.Endpoint("s-3"))
	l := s.loop
	l.awaitRequests(0, 0) // the list is known
	resume := l.pause()
	clients := s.sendOnNewConns(classNames()...)
	testkit.Until(t, "the requests", func() bool { return len(l.queue.posted) == concurrentClients })
	var all []*request
	l.queue.post(eventFunc(func(time.Duration) {
		for _, r := range l.requests.byID {
			all = append(all, r)
		}
	}))
	for len(l.queue.posted) < cap(l.queue.posted)-concurrentClients/3 {
		l.queue.post(eventFunc(func(time.Duration) {}))
	}

	s.disconnectAll(clients, closeTCP, resetConn)
	testkit.Until(t, "a full queue", func() bool { return len(l.queue.posted) == cap(l.queue.posted) })
	resume()

	s.awaitNoRequests()
	if sent := startedAttempts(all...); len(all) != concurrentClients || sent > 0 || len(b.Requests) > 0 {
		t.Errorf("%d of %d attempts began, %d arrived", sent, len(all), len(b.Requests))
	}
}

// Hundreds of clients disconnect at once. Their requests are queued, in flight, or wait for a retry or for a
// connection. Before the loop learns of the first disconnect, the connections are opened, all retries fall due and
// capacity becomes free: none of their attempts starts.
func TestManyDisconnectsInMixedRequestStates(t *testing.T) {
	t.Parallel()
	servers := mixedServers{
		stuck:        testkit.NewStuckServer(t),
		failing:      testkit.NewBackend(t, testkit.ServerError),
		unresponsive: testkit.NewBackend(t, testkit.Unresponsive(nil)),
	}
	s := startHandler(t, servers.endpoints(90)...)
	l := s.loop
	clients := s.sendOnNewConns("read", "push")
	stable := s.pauseWhenStable(servers)
	l.queue.post(eventFunc(l.advanceClock))

	s.disconnectAll(clients, closeTCP)
	sentBefore, attemptsBefore := startedAttempts(stable.requests...), countAttempts(stable.requests)
	servers.stuck.Admit()
	s.awaitIdleConns(stable.states[stateConnecting], servers.stuck.Addr())
	stable.resume()
	s.awaitNoRequests()

	l.inLoop(func() {
		sentLate := startedAttempts(stable.requests...) - sentBefore
		t.Logf("%v; %d attempts started before the disconnects; then %d were decided, %d started",
			stable.states, sentBefore, countAttempts(stable.requests)-attemptsBefore, sentLate)
		if sentLate > 0 || len(stable.states) != 4 {
			t.Error("late attempts, or not all states were reached")
		}
	})
}

// mixedServers accept no connection, respond with errors, and do not respond.
type mixedServers struct {
	stuck                 *testkit.StuckServer
	failing, unresponsive *testkit.Backend
}

func (m mixedServers) endpoints(count int) []endpointjson.Endpoint {
	kinds := []func(string) endpointjson.Endpoint{m.stuck.Endpoint, m.failing.Endpoint, m.unresponsive.Endpoint}
	var list []endpointjson.Endpoint
	for i := range count {
		list = append(list, kinds[i%len(kinds)](fmt.Sprintf("s-%d", i)))
	}
	return list
}

// The states of a request, by its last attempt.
const (
	stateQueued     = "queued"     // there is no attempt yet
	stateBackoff    = "backoff"    // the attempt has ended
	stateConnecting = "connecting" // the connection of the attempt is being opened
	stateInFlight   = "in flight"  // the attempt is at a server that does not respond
	stateTransient  = "moving"     // the attempt is about to change its state
)

// state returns the state of a request.
func (m mixedServers) state(l *testLoop, r *request) string {
	state := stateQueued
	for _, a := range r.attempts {
		switch addr := l.pool.Stats().Servers[a.server].Address; {
		case a.state != attemptInFlight:
			state = stateBackoff
		case addr == m.stuck.Addr().String():
			state = stateConnecting
		case addr == m.unresponsive.Address() && a.call.Started():
			state = stateInFlight
		default:
			state = stateTransient
		}
	}
	return state
}

// stableRequests are the requests of a loop that is paused.
type stableRequests struct {
	requests []*request
	states   map[string]int // how many requests are in a state
	resume   func()         // of the loop
}

// pauseWhenStable pauses the loop once all requests have arrived and none is moving.
func (s *handlerServer) pauseWhenStable(servers mixedServers) stableRequests {
	s.t.Helper()
	var stable stableRequests
	testkit.Until(s.t, "all requests at rest", func() bool {
		stable = stableRequests{states: map[string]int{}, resume: s.loop.pause()}
		for _, r := range s.loop.requests.byID {
			stable.requests = append(stable.requests, r)
			stable.states[servers.state(s.loop, r)]++
		}
		if len(stable.requests) == concurrentClients && stable.states[stateTransient] == 0 {
			return true
		}
		stable.resume()
		return false
	})
	return stable
}

func countAttempts(requests []*request) int {
	count := 0
	for _, r := range requests {
		count += len(r.attempts)
	}
	return count
}
