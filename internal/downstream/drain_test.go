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

// Drains and evictions close idle connections. A connection on which a request has just arrived is no
// longer idle, even if no byte of the request has been read.
func TestIdleConnWithUnreadRequestStaysOpen(t *testing.T) {
	for name, closeIdle := range map[string]func(t *testing.T, conns *Conns, c *Conn){
		"drain": func(_ *testing.T, conns *Conns, _ *Conn) { conns.Drain(canceledContext()) },
		"response complete while draining": func(_ *testing.T, conns *Conns, c *Conn) {
			c.MarkRequestRead()
			conns.advanceTo(stageDraining)
			conns.HandleConnState(c, http.StateIdle)
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

// expectCandidateReadingHead expects c to be the eviction candidate, in the state of a connection with
// a partial request.
func expectCandidateReadingHead(t *testing.T, conns *Conns, c *Conn) {
	t.Helper()
	conns.mu.Lock()
	defer conns.mu.Unlock()
	now := time.Now()
	conns.beginUnreadRequests(now)
	if candidate, _ := conns.evictionCandidate(now); candidate != c || c.state != stateReadingHead {
		t.Errorf("evictionCandidate() = %p, want %p; state of the wanted connection: got %v, want %v",
			candidate, c, c.state, stateReadingHead)
	}
}

func TestDrainClosesIdleConn(t *testing.T) {
	conns := newTestConns(5)
	_, c := acceptConn(t, conns)
	makeIdle(conns, c)
	conns.Drain(canceledContext())
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("Read after Drain succeeded, want a closed connection")
	}
}

// In stageClosing, connections without a request are closed. A request that arrives afterwards stays
// unread, so that its client retries at another node.
func TestRequestAfterShutdownStaysUnread(t *testing.T) {
	forEachConnAwaitingRequest(t, func(t *testing.T, conns *Conns, client net.Conn, c *Conn) {
		t.Helper()
		conns.advanceTo(stageClosing)
		if closing := conns.takeWithoutCompleteRequest(); closing != c {
			t.Fatalf("takeWithoutCompleteRequest() = %p, want %p", closing, c)
		}
		sendUnread(t, client, c, "GET")
		conns.HandleConnState(c, http.StateIdle)
		expectReadError(t, c)
		if sockstate.Peek(c.Conn) != sockstate.Readable {
			t.Error("the request was read")
		}
	})
}

// A request that has arrived before stageClosing is read, and its connection stays open for the
// response.
func TestRequestBeforeShutdownIsRead(t *testing.T) {
	for name, prepare := range map[string]func(conns *Conns, c *Conn){
		"on a new connection":    func(*Conns, *Conn) {},
		"between two requests":   makeIdle,
		"right after a response": func(_ *Conns, c *Conn) { c.MarkRequestRead() },
	} {
		t.Run(name, func(t *testing.T) {
			conns := newTestConns(5)
			client, c := acceptConn(t, conns)
			prepare(conns, c)
			sendUnread(t, client, c, "GET")
			conns.Shutdown(canceledContext())
			conns.HandleConnState(c, http.StateIdle)
			expectRead(t, c, "GET")
			conns.Shutdown(canceledContext())
			if c.Closed() {
				t.Error("the connection was closed before the response was complete")
			}
		})
	}
}

// Shutdown does not wait for a client that has stopped sending in the middle of a request. Until
// net/http reads again, the request may be complete, so its connection stays open.
func TestShutdownClosesIncompleteRequest(t *testing.T) {
	conns := newTestConns(5)
	client, c := acceptConn(t, conns)
	send(t, client, "GET")
	expectRead(t, c, "GET")
	conns.Shutdown(canceledContext())
	if c.Closed() {
		t.Fatal("the connection of a request that may be complete was closed")
	}
	ended := readErrInBackground(c) // as net/http does if the request is incomplete
	conns.Shutdown(t.Context())
	if err := testkit.Receive(t, ended, "Read to return"); err == nil || !c.Closed() {
		t.Errorf("after Shutdown: got Read error %v, Closed() = %v; want an error, true", err, c.Closed())
	}
	if stats := conns.Stats(); stats != (Stats{Incomplete: 1}) {
		t.Errorf("Stats() = %+v, want %+v", stats, Stats{Incomplete: 1})
	}
}

// Shutdown waits for the response to each request that was read, but not for the client to close the
// connection afterwards.
func TestShutdownWaitsForResponses(t *testing.T) {
	conns := newTestConns(5)
	_, c := acceptConn(t, conns)
	c.MarkRequestRead()
	returned := make(chan struct{})
	go func() {
		conns.Shutdown(context.WithoutCancel(t.Context()))
		close(returned)
	}()
	testkit.WaitUntil(t, "Shutdown to wait", conns.hasWaiters)
	select {
	case <-returned:
		t.Fatal("Shutdown returned before the response was complete")
	default:
	}
	withLock(conns, func() { conns.beginLingering(c) })
	testkit.Receive(t, returned, "Shutdown to return")
	if c.Closed() {
		t.Error("the lingering connection was closed by Shutdown")
	}
}

func TestRequestReadBeforeShutdownIsReturned(t *testing.T) {
	expectBufferedRequestReturned(t, func(conns *Conns) { conns.Shutdown(canceledContext()) })
}

// A request in the read-ahead buffer is not visible on the socket. Even so, its connection must not be
// closed as idle.
func TestBufferedRequestWhileDrainingIsReturned(t *testing.T) {
	expectBufferedRequestReturned(t, func(conns *Conns) { conns.advanceTo(stageDraining) })
}

// expectBufferedRequestReturned puts the next request into the read-ahead buffer, performs a step of
// the shutdown, and expects Read to return that request after the current response is complete.
func expectBufferedRequestReturned(t *testing.T, shutdownStep func(conns *Conns)) {
	t.Helper()
	conns := newTestConns(5)
	client, c := acceptConn(t, conns)
	c.MarkRequestRead()
	sendUnread(t, client, c, "GET")
	if c.ClientDisconnected() { // the call fills the read-ahead buffer
		t.Fatal("the client is reported as disconnected")
	}

	shutdownStep(conns)

	conns.HandleConnState(c, http.StateIdle)
	expectRead(t, c, "GET")
}
