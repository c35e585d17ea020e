package downstream

import (
	"errors"
	"net"
	"testing"
	"time"

	"calicohinge/internal/sockstate"
	"calicohinge/internal/testkit"
)

// While all connections are active, a new connection is accepted within the reserve and reported by
// OverLimit. A connection beyond the reserve waits until another connection is closed. The request that
// the waiting client has already sent must not be lost.
func TestNewConnWhileAllAreActiveUsesReserve(t *testing.T) {
	conns := NewConns(Config{
		MaxOpen: 1, ReservedConns: 1, MaxReadAheadBytes: testMaxReadAheadBytes, ReadTimeout: testReadTimeout,
	})
	listener := listen(t, conns)
	var last *Conn
	for _, wantOverLimit := range []bool{false, true} {
		dial(t, listener)
		c := accept(t, listener)
		c.MarkRequestRead()
		last = c
		if c.OverLimit() != wantOverLimit {
			t.Errorf("OverLimit() = %v, want %v", c.OverLimit(), wantOverLimit)
		}
	}

	waiting := dial(t, listener)
	send(t, waiting, "GET")
	accepted := acceptInBackground(t, listener)
	testkit.WaitUntil(t, "the connection beyond the reserve to wait", conns.hasWaiters)
	if sockstate.Peek(waiting) != sockstate.Idle || conns.Open() != 2 {
		t.Errorf("while the connection waits: got client's socket %v, %d open connections; want %v, 2",
			sockstate.Peek(waiting), conns.Open(), sockstate.Idle)
	}

	if err := last.Close(); err != nil {
		t.Fatal(err)
	}
	c := testkit.Receive(t, accepted, "the connection beyond the reserve to be accepted")
	expectRead(t, c, "GET")
}

// A connection that waits for admission is closed when the listener is closed.
func TestListenerCloseEndsAdmission(t *testing.T) {
	conns := NewConns(Config{MaxOpen: 1, MaxReadAheadBytes: testMaxReadAheadBytes, ReadTimeout: testReadTimeout})
	listener := listen(t, conns)
	dial(t, listener)
	accept(t, listener).MarkRequestRead()
	waiting := dial(t, listener)
	accepted := acceptErrInBackground(listener)
	testkit.WaitUntil(t, "the connection beyond the reserve to wait", conns.hasWaiters)

	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}

	if err := testkit.Receive(t, accepted, "Accept to return"); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept: got error %v, want %v", err, net.ErrClosed)
	}
	if err := waiting.SetReadDeadline(time.Now().Add(testkit.WaitTimeout)); err != nil {
		t.Fatal(err)
	}
	if n, err := waiting.Read(make([]byte, 1)); n != 0 || err == nil || testkit.IsTimeout(err) {
		t.Errorf("Read by the waiting client: got %d bytes, error %v; want a closed connection", n, err)
	}
}

func TestListenerCloseEndsAwaitCapacity(t *testing.T) {
	conns := newTestConns(1)
	if err := listen(t, conns).Close(); err != nil {
		t.Fatal(err)
	}
	if conns.awaitCapacity(admissionStep{decision: decisionWait, wait: testkit.WaitTimeout}) {
		t.Error("awaitCapacity() = true after the listener was closed, want false")
	}
}
