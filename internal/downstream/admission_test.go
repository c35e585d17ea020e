package downstream

import (
	"errors"
	"net"
	"testing"
	"time"

	"calicohinge/internal/testkit"
)

// While all connections are active, a new one is accepted from the reserve and marked;
// beyond the reserve it is closed without being accepted.
func TestNewConnWhileAllAreActiveUsesReserve(t *testing.T) {
	conns := NewConns(Config{MaxOpen: 1, Reserve: 1, MaxReadAhead: testMaxReadAhead, ReadTimeout: testReadTimeout})
	listener := listen(t, conns)
	for _, wantOverLimit := range []bool{false, true} {
		dial(t, listener)
		c := accept(t, listener)
		c.RequestComplete()
		if c.OverLimit() != wantOverLimit {
			t.Errorf("over the limit: %v, want %v", c.OverLimit(), wantOverLimit)
		}
	}
	rejected := dial(t, listener)
	accepted := make(chan error, 1)
	go func() { // ends as the listener is closed
		_, err := listener.Accept()
		accepted <- err
	}()
	if err := rejected.SetReadDeadline(time.Now().Add(testkit.Patience)); err != nil {
		t.Fatal(err)
	}
	if n, err := rejected.Read(make([]byte, 1)); n != 0 || err == nil || testkit.IsTimeout(err) {
		t.Errorf("the client beyond the reserve read %d bytes, %v; want a closed connection", n, err)
	}
	if open := conns.Open(); open != 2 {
		t.Errorf("%d connections are open, want 2", open)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if err := testkit.Wait(t, accepted, "the listener to end"); !errors.Is(err, net.ErrClosed) {
		t.Errorf("accepting ended with %v", err)
	}
}

func TestListenerCloseEndsWaitOfAdmission(t *testing.T) {
	conns := newTestConns(1)
	if err := listen(t, conns).Close(); err != nil {
		t.Fatal(err)
	}
	if conns.waitForChange(testkit.Patience) {
		t.Error("the wait went on after the listener was closed")
	}
}
