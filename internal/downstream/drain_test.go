package downstream

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"calicohinge/internal/sockstate"
	"calicohinge/internal/testkit"
)

// Idle connections are closed by a drain and by an eviction. One whose client has
// just sent a request is not idle any more, although no byte of it has been read.
func TestIdleConnWithUnreadRequestStaysOpen(t *testing.T) {
	for name, closeIdle := range map[string]func(t *testing.T, conns *Conns, c *Conn){
		"drain": func(_ *testing.T, conns *Conns, _ *Conn) { conns.Drain(canceledContext()) },
		"response complete while draining": func(_ *testing.T, conns *Conns, c *Conn) {
			c.RequestComplete()
			conns.advanceTo(stageDraining)
			conns.ConnState(c, http.StateIdle)
		},
		"eviction": expectCandidateReadingHead,
	} {
		t.Run(name, func(t *testing.T) {
			conns := newTestConns(5)
			client, c := acceptConn(t, conns)
			makeIdle(conns, c)
			sendUnread(t, client, c, "GET")

			closeIdle(t, conns, c)

			expectRead(t, c, "GET")
		})
	}
}

// expectCandidateReadingHead expects c to be the next to evict, as a connection with
// a part of a request.
func expectCandidateReadingHead(t *testing.T, conns *Conns, c *Conn) {
	t.Helper()
	conns.mu.Lock()
	defer conns.mu.Unlock()
	now := time.Now()
	conns.beginUnreadRequests(now)
	if candidate, _ := conns.evictionCandidate(now); candidate != c || c.state != stateReadingHead {
		t.Errorf("the eviction candidate is %p, want %p; state %v", candidate, c, c.state)
	}
}

func TestDrainClosesIdleConn(t *testing.T) {
	conns := newTestConns(5)
	_, c := acceptConn(t, conns)
	makeIdle(conns, c)
	conns.Drain(canceledContext())
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("an idle connection outlasts a drain")
	}
}

// In the last stage of a shutdown connections without a request are closed. A request that
// arrives after that stays unread, so that its client retries at another node.
func TestRequestAfterShutdownStaysUnread(t *testing.T) {
	forEachConnAwaitingRequest(t, func(t *testing.T, conns *Conns, client net.Conn, c *Conn) {
		t.Helper()
		conns.advanceTo(stageClosing)
		if closing := conns.takeWithoutRequest(); closing != c {
			t.Fatalf("%p is closed next, want %p", closing, c)
		}
		sendUnread(t, client, c, "GET")
		conns.ConnState(c, http.StateIdle)
		expectReadError(t, c)
		if sockstate.Peek(c.Conn) != sockstate.Readable {
			t.Error("the request was read")
		}
	})
}

// A request that has arrived before the last stage of a shutdown is read, and its connection
// stays open for the response.
func TestRequestBeforeShutdownIsRead(t *testing.T) {
	for name, prepare := range map[string]func(conns *Conns, c *Conn){
		"on a new connection":    func(*Conns, *Conn) {},
		"between two requests":   makeIdle,
		"right after a response": func(_ *Conns, c *Conn) { c.RequestComplete() },
	} {
		t.Run(name, func(t *testing.T) {
			conns := newTestConns(5)
			client, c := acceptConn(t, conns)
			prepare(conns, c)
			sendUnread(t, client, c, "GET")
			conns.Shutdown(canceledContext())
			conns.ConnState(c, http.StateIdle)
			expectRead(t, c, "GET")
			conns.Shutdown(canceledContext())
			if c.Closed() {
				t.Error("the connection was closed before the response")
			}
		})
	}
}

// Shutdown does not wait for a client that has sent a part of a request and stops. Until
// net/http reads on, the request may be complete, and its connection stays open.
func TestShutdownClosesIncompleteRequest(t *testing.T) {
	conns := newTestConns(5)
	client, c := acceptConn(t, conns)
	send(t, client, "GET")
	expectRead(t, c, "GET")
	conns.Shutdown(canceledContext())
	if c.Closed() {
		t.Fatal("a request that may be complete was dropped")
	}
	ended := readErrInBackground(c) // as net/http does if the request is incomplete
	conns.Shutdown(t.Context())
	if err := testkit.Wait(t, ended, "the reader"); err == nil || !c.Closed() {
		t.Errorf("reading ended with %v, closed %v", err, c.Closed())
	}
	if stats := conns.Stats(); stats != (Stats{Incomplete: 1}) {
		t.Errorf("counted %+v", stats)
	}
}

// Shutdown waits for the response to each request that was read, and not for the client to
// close its connection after that.
func TestShutdownWaitsForResponses(t *testing.T) {
	conns := newTestConns(5)
	_, c := acceptConn(t, conns)
	c.RequestComplete()
	returned := make(chan struct{})
	go func() {
		conns.Shutdown(context.WithoutCancel(t.Context()))
		close(returned)
	}()
	testkit.Until(t, "Shutdown to wait", conns.hasWaiters)
	select {
	case <-returned:
		t.Fatal("Shutdown returned before the response")
	default:
	}
	withLock(conns, func() { conns.beginLingering(c) })
	testkit.Wait(t, returned, "Shutdown to return")
	if c.Closed() {
		t.Error("closed before the client has read the response")
	}
}

func TestRequestReadBeforeShutdownIsReturned(t *testing.T) {
	expectBufferedRequestReturned(t, func(conns *Conns) { conns.Shutdown(canceledContext()) })
}

// A request in the read-ahead buffer does not show on the socket: the connection must
// not be closed as idle.
func TestBufferedRequestWhileDrainingIsReturned(t *testing.T) {
	expectBufferedRequestReturned(t, func(conns *Conns) { conns.advanceTo(stageDraining) })
}

// expectBufferedRequestReturned puts the next request into the read-ahead buffer, runs a step
// of the shutdown and expects the request to be read once the present one has its response.
func expectBufferedRequestReturned(t *testing.T, shutdownStep func(conns *Conns)) {
	t.Helper()
	conns := newTestConns(5)
	client, c := acceptConn(t, conns)
	c.RequestComplete()
	sendUnread(t, client, c, "GET")
	if c.ClientDisconnected() { // this fills the read-ahead buffer
		t.Fatal("the client counts as disconnected")
	}

	shutdownStep(conns)

	conns.ConnState(c, http.StateIdle)
	expectRead(t, c, "GET")
}
