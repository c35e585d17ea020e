package node

import (
	"context"
	"net"
	"strings"
	"testing"

	"calicohinge/internal/downstream"
	"calicohinge/internal/sockstate"
	"calicohinge/internal/testkit"
	"calicohinge/policy"
)

func TestDisconnectCancelsTheAttempt(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	b := testkit.NewBackend(t, testkit.Unresponsive(cancelled))
	n, _ := startReady(t, b)
	nc := n.dial()
	if err := n.request("read").Write(nc); err != nil {
		t.Fatal(err)
	}
	testkit.Wait(t, b.Requests, "the request")
	closeConn(nc)
	testkit.Wait(t, cancelled, "the cancelled attempt")
}

// startWithBusyServer starts a loop before a server whose capacity one request uses.
func startWithBusyServer(t *testing.T) (*testLoop, *gatedBackend) {
	t.Helper()
	server := newGatedBackend(t)
	l := startLoop(t, server.Endpoint("s-0"))
	l.submitAsync(t.Context(), l.newRequest(classPay, staysConnected))
	testkit.Wait(t, server.Requests, "the first request")
	return l, server
}

// A client disconnects while its request is queued for want of capacity: it is never sent.
func TestQueuedRequestIsNotSentAfterADisconnect(t *testing.T) {
	l, server := startWithBusyServer(t)
	ctx, disconnect := context.WithCancel(t.Context())
	l.submitAsync(ctx, l.newRequest(classPay, staysConnected))
	l.awaitRequests(2, 1)

	disconnect()
	l.awaitRequests(1, 1)
	server.open()
	l.awaitRequests(0, 0)

	if len(server.Requests) > 0 {
		t.Error("the request of a client that disconnected was sent")
	}
}

// A client disconnects while its request is queued, and the event waits behind others: the state of the socket
// just before the write counts.
func TestQueuedRequestIsNotSentIfTheSocketShowsADisconnect(t *testing.T) {
	l, server := startWithBusyServer(t)
	client, c := acceptedConn(t, downstream.NewConns(downstreamConfig(5, 0)))
	c.RequestComplete()
	hasResponse := make(chan bool)
	go func() {
		_, err := l.submit(t.Context(), l.newRequest(classPay, c.ClientDisconnected)) // its context never ends
		hasResponse <- err == nil
	}()
	l.awaitRequests(2, 1)

	send(client, strings.Repeat("more ", 1000)) // bytes ahead hide the end
	closeConn(client)
	awaitSocketState(t, c.Conn, sockstate.Readable)
	server.open()

	if testkit.Wait(t, hasResponse, "the end of the request") {
		t.Error("a client that disconnected got a response")
	}
	l.awaitRequests(0, 0)
	if len(server.Requests) > 0 {
		t.Error("the request of a client that disconnected was sent")
	}
}

// A client disconnects while a connection for its request is being opened. The connection is open later: nothing
// is sent on it.
func TestAttemptWaitingForAConnectionIsNotSentAfterADisconnect(t *testing.T) {
	t.Parallel()
	stuck := testkit.NewStuckServer(t)
	l := startLoop(t, stuck.Endpoint("s-0"))
	ctx, disconnect := context.WithCancel(t.Context())
	disconnected := func() bool { return ctx.Err() != nil }
	l.submitAsync(context.Background(), l.newRequest(classPay, disconnected)) // net/http has not seen it
	l.awaitRequests(1, 1)

	disconnect()
	sent := stuck.Admit()
	l.awaitRequests(0, 0)

	if len(sent) > 0 {
		t.Errorf("%q was sent", <-sent)
	}
}

// A client disconnects between two attempts: the second is not made.
func TestNoRetryAfterADisconnect(t *testing.T) {
	servers := firstRequestFails(t, testkit.ServerError)
	l := startLoop(t, servers[0].Endpoint("s-0"), servers[1].Endpoint("s-1"))
	ctx, disconnect := context.WithCancel(t.Context())
	l.submitAsync(ctx, l.newRequest(classRead, staysConnected))
	sent := func() int { return len(servers[0].Requests) + len(servers[1].Requests) }
	testkit.Until(t, "the first attempt", func() bool { return sent() > 0 })
	l.awaitRequests(1, 0)

	disconnect()
	l.awaitRequests(0, 0)

	if n := sent(); n != 1 {
		t.Errorf("%d sends, want 1", n)
	}
}

// A client sends more bytes after its request and disconnects: its attempt is cancelled as well.
func TestDisconnectAfterUnreadBytesCancelsTheAttempt(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	b := testkit.NewBackend(t, testkit.Unresponsive(cancelled))
	n := startReadyWith(t, b.Endpoint("s-0"), withDeadlines(600000))
	nc := n.dial()
	r := n.request("pay")
	r.Header.Set("X-Timeout-Ms", "600000")
	sendRequest(nc, r)
	testkit.Wait(t, b.Requests, "the request")
	send(nc, strings.Repeat("x", 5000))
	closeConn(nc)
	testkit.Wait(t, cancelled, "the cancelled attempt")
}

// A client disconnects while a connection for its first or its second attempt is being opened. The connection is
// open before the loop handles the disconnect: nothing is written on it.
func TestLateConnectionIsNotUsedAfterADisconnect(t *testing.T) {
	t.Parallel()
	t.Run("first attempt", func(t *testing.T) {
		t.Parallel()
		stuck := testkit.NewStuckServer(t)
		s := startHandler(t, stuck.Endpoint("s-0"))
		client := s.sendOnNewConn("read", "")
		s.wantNotSentAfterDisconnect(client, stuck, 0)
	})
	t.Run("second attempt", func(t *testing.T) {
		t.Parallel()
		stuck, failing := testkit.NewStuckServer(t), testkit.NewBackend(t, testkit.ServerError)
		s := startHandler(t, failing.Endpoint("s-1"))
		client := s.sendOnNewConn("read", "")
		testkit.Wait(t, failing.Requests, "the first attempt")
		s.loop.awaitRequests(1, 0)
		s.loop.notifyEndpoints(policy.UpdateDelta, stuck.Endpoint("s-0"))
		s.loop.queue.post(eventFunc(s.loop.advanceClock))
		s.wantNotSentAfterDisconnect(client, stuck, 1)
	})
}

// wantNotSentAfterDisconnect disconnects a client while the attempt with an index waits for its
// connection to a stuck server, and fails the test if the attempt is sent.
func (s *handlerServer) wantNotSentAfterDisconnect(client *net.TCPConn, stuck *testkit.StuckServer, wantSent int) {
	s.t.Helper()
	l := s.loop
	l.awaitRequests(1, 1)
	resume := l.pause()
	r := l.lastRequest()
	closeConn(client)
	s.awaitDisconnect(client)
	sent := stuck.Admit()
	s.awaitIdleConns(1, stuck.Addr())
	resume()
	s.awaitNoRequests()
	attemptsSent := startedAttempts(r)
	if len(r.attempts) != wantSent+1 || attemptsSent != wantSent || len(sent) > 0 {
		s.t.Errorf("%d of %d attempts began, want %d", attemptsSent, len(r.attempts), wantSent)
	}
}

// A client disconnects after it has sent part of a request: no request reaches the loop.
func TestIncompleteRequestIsNeverForwarded(t *testing.T) {
	b := testkit.NewBackend(t, testkit.OK)
	s := startHandler(t, b.Endpoint("s-0"))
	complete := s.requestText("pay")
	for partName, part := range map[string]string{
		"nothing":          "",
		"half of the head": complete[:len(complete)/2],
		"the head":         complete[:strings.Index(complete, "{")],
		"half of the body": complete[:len(complete)-3],
	} {
		for disconnectName, disconnect := range map[string]func(*net.TCPConn){
			"closes": closeTCP, "resets": resetConn, "ends its sending": closeWrite,
		} {
			client := s.dial().(*net.TCPConn)
			send(client, part)
			disconnect(client)
			testkit.Until(t, "the end of the connection", func() bool {
				c := s.nodeConn(client)
				return c != nil && c.Closed()
			})
			if len(b.Requests) > 0 || s.loop.requests.lastID > 0 {
				t.Errorf("%s, %s: treated as a request", partName, disconnectName)
			}
		}
	}
}
