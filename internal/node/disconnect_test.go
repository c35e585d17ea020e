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
	server := testkit.NewRecordingServer(t, testkit.Unresponsive(cancelled))
	n, _ := startReadyNode(t, server)
	nc := n.dial()
	if err := n.newRequest("read").Write(nc); err != nil {
		t.Fatalf("writing the request: %v", err)
	}
	testkit.Receive(t, server.Requests, "the server to receive the request")
	closeQuietly(nc)
	testkit.Receive(t, cancelled, "the attempt to be cancelled after the client disconnected")
}

// startWithBusyServer starts a loop with one server, and sends a request that uses all of the server's capacity.
func startWithBusyServer(t *testing.T) (*testLoop, *blockedServer) {
	t.Helper()
	server := newBlockedServer(t)
	l := startLoop(t, server.Endpoint("s-0"))
	l.submitAsync(t.Context(), l.newRequest(classPay, neverDisconnected))
	testkit.Receive(t, server.Requests, "the server to receive the first request")
	return l, server
}

// A request that is queued for lack of server capacity must not be sent when capacity becomes free if its client has
// disconnected by then.
func TestQueuedRequestIsNotSentAfterADisconnect(t *testing.T) {
	l, server := startWithBusyServer(t)
	ctx, disconnect := context.WithCancel(t.Context())
	l.submitAsync(ctx, l.newRequest(classPay, neverDisconnected))
	l.awaitRequests(2, 1)

	disconnect()
	l.awaitRequests(1, 1)
	server.unblock()
	l.awaitRequests(0, 0)

	if len(server.Requests) > 0 {
		t.Error("the queued request was sent after its client disconnected, want it not sent")
	}
}

// Server capacity may become free after the client of a queued request has disconnected but before the loop gets the
// disconnect event. The check of the client's socket just before the write must then keep the request from being sent.
func TestQueuedRequestIsNotSentIfTheSocketShowsADisconnect(t *testing.T) {
	l, server := startWithBusyServer(t)
	client, c := acceptedConn(t, downstream.NewConns(downstreamConfig(5, 0)))
	c.MarkRequestRead()
	hasResponse := make(chan bool)
	go func() {
		// The context does not end with the connection, so that the loop gets no event for the disconnect.
		_, err := l.submit(t.Context(), l.newRequest(classPay, c.ClientDisconnected))
		hasResponse <- err == nil
	}()
	l.awaitRequests(2, 1)

	send(client, strings.Repeat("more ", 1000)) // unread bytes hide the close from a peek at the socket
	closeQuietly(client)
	awaitSocketState(t, c.Conn, sockstate.Readable)
	server.unblock()

	if testkit.Receive(t, hasResponse, "the queued request to complete") {
		t.Error("the request of a disconnected client completed with a response, want an error")
	}
	l.awaitRequests(0, 0)
	if len(server.Requests) > 0 {
		t.Error("the queued request was sent after its client disconnected, want it not sent")
	}
}

// The connection that an attempt waits for may open after the client has disconnected but before net/http detects the
// disconnect. Nothing may be written to the connection then.
func TestAttemptWaitingForAConnectionIsNotSentAfterADisconnect(t *testing.T) {
	t.Parallel()
	fullAcceptQueue := testkit.NewFullAcceptQueueServer(t)
	l := startLoop(t, fullAcceptQueue.Endpoint("s-0"))
	ctx, disconnect := context.WithCancel(t.Context())
	disconnected := func() bool { return ctx.Err() != nil }
	// The request's context does not end, as if net/http had not detected the disconnect yet.
	l.submitAsync(context.Background(), l.newRequest(classPay, disconnected))
	l.awaitRequests(1, 1)

	disconnect()
	sent := fullAcceptQueue.AcceptAll()
	l.awaitRequests(0, 0)

	if len(sent) > 0 {
		t.Errorf("the server received %q after the client disconnected, want nothing", <-sent)
	}
}

func TestNoRetryAfterADisconnect(t *testing.T) {
	servers := newServersFailingFirst(t, testkit.ServerError)
	l := startLoop(t, servers[0].Endpoint("s-0"), servers[1].Endpoint("s-1"))
	ctx, disconnect := context.WithCancel(t.Context())
	l.submitAsync(ctx, l.newRequest(classRead, neverDisconnected))
	sent := func() int { return len(servers[0].Requests) + len(servers[1].Requests) }
	testkit.WaitUntil(t, "a server to receive the first attempt", func() bool { return sent() > 0 })
	l.awaitRequests(1, 0)

	disconnect()
	l.awaitRequests(0, 0)

	if n := sent(); n != 1 {
		t.Errorf("attempts received by the servers: got %d, want 1, sent before the disconnect", n)
	}
}

// If a client sends further bytes after its request, net/http stops its background read at the first of these bytes and
// does not detect a later disconnect. The node must read the bytes itself, so that it detects the disconnect and
// cancels the attempt.
func TestDisconnectAfterUnreadBytesCancelsTheAttempt(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	server := testkit.NewRecordingServer(t, testkit.Unresponsive(cancelled))
	n := startReadyNodeWithConfig(t, server.Endpoint("s-0"), withDeadlines(600000))
	nc := n.dial()
	r := n.newRequest("pay")
	r.Header.Set("X-Timeout-Ms", "600000")
	sendRequest(nc, r)
	testkit.Receive(t, server.Requests, "the server to receive the request")
	send(nc, strings.Repeat("x", 5000))
	closeQuietly(nc)
	testkit.Receive(t, cancelled, "the attempt to be cancelled after the client sent 5000 bytes and disconnected")
}

// The connection that a first or second attempt waits for may open after the client has disconnected but before the
// loop handles the disconnect. Nothing may be written to the connection then.
func TestLateConnectionIsNotUsedAfterADisconnect(t *testing.T) {
	t.Parallel()
	t.Run("first attempt", func(t *testing.T) {
		t.Parallel()
		fullAcceptQueue := testkit.NewFullAcceptQueueServer(t)
		s := startHandler(t, fullAcceptQueue.Endpoint("s-0"))
		client := s.sendOnNewConn("read", "")
		s.wantNotSentAfterDisconnect(client, fullAcceptQueue, 0)
	})
	t.Run("second attempt", func(t *testing.T) {
		t.Parallel()
		fullAcceptQueue, failing := testkit.NewFullAcceptQueueServer(t), testkit.NewRecordingServer(t, testkit.ServerError)
		s := startHandler(t, failing.Endpoint("s-1"))
		client := s.sendOnNewConn("read", "")
		testkit.Receive(t, failing.Requests, "the server to receive the first attempt")
		s.loop.awaitRequests(1, 0)
		s.loop.reportEndpoints(policy.UpdateDelta, fullAcceptQueue.Endpoint("s-0"))
		s.loop.queue.post(eventFunc(s.loop.advanceClock))
		s.wantNotSentAfterDisconnect(client, fullAcceptQueue, 1)
	})
}

// wantNotSentAfterDisconnect disconnects a client while an attempt waits for its connection to a server with a full
// accept queue, after wantSent earlier attempts of the same request were sent. It fails the test if the waiting attempt
// is sent too.
func (s *testHandler) wantNotSentAfterDisconnect(
	client *net.TCPConn, fullAcceptQueue *testkit.FullAcceptQueueServer, wantSent int,
) {
	s.t.Helper()
	l := s.loop
	l.awaitRequests(1, 1)
	resume := l.pause()
	r := l.lastRequest()
	closeQuietly(client)
	s.awaitDisconnect(client)
	sent := fullAcceptQueue.AcceptAll()
	s.awaitIdleConns(1, fullAcceptQueue.Addr())
	resume()
	s.awaitNoRequests()
	attemptsSent := countSentAttempts(r)
	if len(r.attempts) != wantSent+1 || attemptsSent != wantSent || len(sent) > 0 {
		s.t.Errorf(
			"attempts sent: got %d of %d, want %d of %d; received by the server with a full accept queue: got %d, want 0",
			attemptsSent, len(r.attempts), wantSent, wantSent+1, len(sent))
	}
}

// If a client disconnects after it has sent only part of a request, neither the loop nor a server must get the request.
func TestIncompleteRequestIsNeverForwarded(t *testing.T) {
	server := testkit.NewRecordingServer(t, testkit.OK)
	s := startHandler(t, server.Endpoint("s-0"))
	complete := s.requestText("pay")
	for partName, part := range map[string]string{
		"no bytes":           "",
		"part of the header": complete[:len(complete)/2],
		"the header":         complete[:strings.Index(complete, "{")],
		"part of the body":   complete[:len(complete)-3],
	} {
		for disconnectName, disconnect := range map[string]func(*net.TCPConn){
			"closed": closeTCP, "reset": resetConn, "half-closed": closeWrite,
		} {
			client := s.dial().(*net.TCPConn)
			send(client, part)
			disconnect(client)
			testkit.WaitUntil(t, "the node to close the connection", func() bool {
				c := s.nodeConn(client)
				return c != nil && c.Closed()
			})
			if len(server.Requests) > 0 || s.loop.requests.lastID > 0 {
				t.Errorf("client sent %s, connection %s: got %d requests at the server and %d in the loop, want 0 and 0",
					partName, disconnectName, len(server.Requests), s.loop.requests.lastID)
			}
		}
	}
}
