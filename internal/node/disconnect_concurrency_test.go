package node

import (
	"fmt"
	"net"
	"testing"
	"time"

	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
)

// concurrentClients is the number of clients that disconnect at the same time. It exceeds the free space that
// TestManyDisconnectsWithAFullEventQueue leaves in the loop's event queue.
const concurrentClients = 300

// sendOnNewConns sends concurrentClients requests, each on a new connection. It uses the given classes in turn.
func (s *testHandler) sendOnNewConns(classes ...string) []*net.TCPConn {
	s.t.Helper()
	var clients []*net.TCPConn
	for i := range concurrentClients {
		clients = append(clients, s.sendOnNewConn(classes[i%len(classes)], ""))
	}
	return clients
}

// disconnectAll disconnects the clients with the given functions in turn, and waits until the node's sockets show that
// all clients have disconnected.
func (s *testHandler) disconnectAll(clients []*net.TCPConn, disconnects ...func(*net.TCPConn)) {
	s.t.Helper()
	for i, client := range clients {
		disconnects[i%len(disconnects)](client)
	}
	for _, client := range clients {
		s.awaitDisconnect(client)
	}
}

// If many clients disconnect at once, their disconnect events can fill the event queue, so that further events have to
// wait for space. The loop handles all requests before the first disconnect event. Nevertheless, no request of a
// disconnected client may be forwarded, and all requests must be released.
func TestManyDisconnectsWithAFullEventQueue(t *testing.T) {
	server := testkit.NewRecordingServer(t, testkit.OK)
	s := startHandler(t, server.Endpoint("s-0"), server.Endpoint("s-1"), server.Endpoint("s-2"), server.Endpoint("s-3"))
	l := s.loop
	l.awaitRequests(0, 0) // waits until the loop has handled the endpoint list
	resume := l.pause()
	clients := s.sendOnNewConns(classNames()...)
	testkit.WaitUntil(t, "all requests to be in the event queue", func() bool {
		return len(l.queue.posted) == concurrentClients
	})
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
	testkit.WaitUntil(t, "the event queue to be full", func() bool { return len(l.queue.posted) == cap(l.queue.posted) })
	resume()

	s.awaitNoRequests()
	if sent := countSentAttempts(all...); len(all) != concurrentClients || sent > 0 || len(server.Requests) > 0 {
		t.Errorf("requests in the loop: got %d, want %d; attempts sent: got %d, want 0; attempts received: got %d, want 0",
			len(all), concurrentClients, sent, len(server.Requests))
	}
}

// No attempt may be sent after its client has disconnected, whether the request is queued, in flight, in backoff or
// waiting for a connection. Just before the loop handles the disconnects, connections open, retries become due and
// server capacity becomes free, each of which could cause an attempt to be sent.
func TestManyDisconnectsInMixedRequestStates(t *testing.T) {
	t.Parallel()
	servers := mixedServers{
		fullAcceptQueue: testkit.NewFullAcceptQueueServer(t),
		failing:         testkit.NewRecordingServer(t, testkit.ServerError),
		unresponsive:    testkit.NewRecordingServer(t, testkit.Unresponsive(nil)),
	}
	s := startHandler(t, servers.endpoints(90)...)
	l := s.loop
	clients := s.sendOnNewConns("read", "push")
	stable := s.pauseWhenStable(servers)
	l.queue.post(eventFunc(l.advanceClock))

	s.disconnectAll(clients, closeTCP)
	sentBefore, attemptsBefore := countSentAttempts(stable.requests...), countAttempts(stable.requests)
	servers.fullAcceptQueue.AcceptAll()
	s.awaitIdleConns(stable.states[stateConnecting], servers.fullAcceptQueue.Addr())
	stable.resume()
	s.awaitNoRequests()

	l.runInLoop(func() {
		sentLate := countSentAttempts(stable.requests...) - sentBefore
		t.Logf("requests by state: %v; attempts sent before the disconnects: %d; after them: %d started, %d sent",
			stable.states, sentBefore, countAttempts(stable.requests)-attemptsBefore, sentLate)
		if sentLate > 0 || len(stable.states) != 4 {
			t.Errorf("attempts sent after the disconnects: got %d, want 0; requests by state: got %v, want 4 states",
				sentLate, stable.states)
		}
	})
}

// mixedServers are servers that fail in different ways.
type mixedServers struct {
	fullAcceptQueue *testkit.FullAcceptQueueServer // accepts no connection until AcceptAll is called
	failing         *testkit.RecordingServer       // responds with errors
	unresponsive    *testkit.RecordingServer       // does not respond
}

// endpoints returns an endpoint list with count entries, which are the three servers in turn.
func (m mixedServers) endpoints(count int) []endpointjson.Endpoint {
	kinds := []func(string) endpointjson.Endpoint{m.fullAcceptQueue.Endpoint, m.failing.Endpoint, m.unresponsive.Endpoint}
	var list []endpointjson.Endpoint
	for i := range count {
		list = append(list, kinds[i%len(kinds)](fmt.Sprintf("s-%d", i)))
	}
	return list
}

// The states of a request, which its last attempt determines.
const (
	stateQueued     = "queued"     // there is no attempt yet
	stateBackoff    = "backoff"    // the last attempt has ended
	stateConnecting = "connecting" // the last attempt waits for a connection to the server with a full accept queue
	stateInFlight   = "in flight"  // the last attempt was sent to the unresponsive server
	stateTransient  = "transient"  // the last attempt is about to change its state
)

// state returns the state of a request. The loop must be paused.
func (m mixedServers) state(l *testLoop, r *request) string {
	state := stateQueued
	for _, a := range r.attempts {
		switch addr := l.pool.Stats().Servers[a.server].Address; {
		case a.state != attemptInFlight:
			state = stateBackoff
		case addr == m.fullAcceptQueue.Addr().String():
			state = stateConnecting
		case addr == m.unresponsive.Address() && a.call.Sent():
			state = stateInFlight
		default:
			state = stateTransient
		}
	}
	return state
}

// stableRequests are the requests of a paused loop, none of which is in stateTransient.
type stableRequests struct {
	requests []*request
	states   map[string]int // number of requests by state
	resume   func()         // resumes the loop
}

// pauseWhenStable pauses the loop once all requests have arrived and none is in stateTransient.
func (s *testHandler) pauseWhenStable(servers mixedServers) stableRequests {
	s.t.Helper()
	var stable stableRequests
	testkit.WaitUntil(s.t, "all requests to be in a stable state", func() bool {
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

// countAttempts returns the number of attempts of all given requests, sent or not.
func countAttempts(requests []*request) int {
	count := 0
	for _, r := range requests {
		count += len(r.attempts)
	}
	return count
}
