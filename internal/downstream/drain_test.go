package downstream

import (
	"net/http"
	"testing"

	"calicohinge/internal/sockstate"
)

// Idle connections are closed by a drain and by an eviction. One whose client has
// just sent a request is not idle any more, although no byte of it has been read.
func TestIdleConnWithUnreadRequestStaysOpen(t *testing.T) {
	for name, attempt := range map[string]func(t *testing.T, conns *Conns, c *Conn){
		"drain": func(_ *testing.T, conns *Conns, _ *Conn) { conns.Drain(canceledContext()) },
		"request finished while draining": func(_ *testing.T, conns *Conns, c *Conn) {
			c.RequestComplete()
			conns.beginDraining()
			conns.ConnState(c, http.StateIdle)
		},
		"eviction": expectCandidateReadingHead,
	} {
		t.Run(name, func(t *testing.T) {
			conns := newTestConns(5)
			client, c := acceptConn(t, conns)
			makeIdle(conns, c)
			sendUnread(t, client, c, "GET")
			attempt(t, conns, c)
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
	if candidate, _ := conns.evictionCandidate(); candidate != c || c.phase != phaseReadingHead {
		t.Errorf("the eviction candidate is %p, want %p; phase %v", candidate, c, c.phase)
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

// A request that arrives after StopReading stays unread, so that its client retries
// at another node.
func TestRequestAfterStopReadingStaysUnread(t *testing.T) {
	for name, prepare := range map[string]func(conns *Conns, c *Conn){
		"on a new connection":   func(*Conns, *Conn) {},
		"between two requests":  makeIdle,
		"right after an answer": func(_ *Conns, c *Conn) { c.RequestComplete() },
	} {
		t.Run(name, func(t *testing.T) {
			conns := newTestConns(5)
			client, c := acceptConn(t, conns)
			prepare(conns, c)
			conns.StopReading()
			sendUnread(t, client, c, "GET")
			conns.ConnState(c, http.StateIdle)
			expectReadError(t, c)
			if sockstate.Peek(c.Conn) != sockstate.Readable {
				t.Error("the request was read")
			}
		})
	}
}

func TestRequestReadBeforeStopReadingIsReturned(t *testing.T) {
	expectBufferedRequestReturned(t, (*Conns).StopReading)
}

// A request in the read-ahead buffer does not show on the socket: the connection must
// not be closed as idle.
func TestBufferedRequestWhileDrainingIsReturned(t *testing.T) {
	expectBufferedRequestReturned(t, (*Conns).beginDraining)
}

// expectBufferedRequestReturned has the next request in the read-ahead buffer when a step
// of the shutdown comes, and expects it to be read once the present request is over.
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
