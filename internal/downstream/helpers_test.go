package downstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"calicohinge/internal/sockstate"
	"calicohinge/internal/testkit"
)

const (
	// testMaxReadAhead bounds the read-ahead buffer of the tests' connections, in bytes.
	testMaxReadAhead = 80 << 10
	// testReadTimeout is short, as a test waits for it.
	testReadTimeout = 2 * time.Second
)

func newTestConns(maxOpen int) *Conns {
	return NewConns(Config{
		MaxOpen:       maxOpen,
		MaxReadAhead:  testMaxReadAhead,
		ReadTimeout:   testReadTimeout,
		LingerTimeout: DefaultLingerTimeout,
	})
}

// listen returns a listener that admits to conns.
func listen(t *testing.T, conns *Conns) *Listener {
	t.Helper()
	listener := conns.Listener(testkit.Listen(t))
	t.Cleanup(func() { _ = listener.Close() }) // the test is over
	return listener
}

// dial returns the client's end of a connection that is not accepted yet.
func dial(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() }) // a test may have closed it
	return client
}

// accept returns the node's end of the next connection.
func accept(t *testing.T, listener net.Listener) *Conn {
	t.Helper()
	netConn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = netConn.Close() }) // the test is over
	return netConn.(*Conn)
}

// acceptConn returns both ends of a connection that was admitted to conns.
func acceptConn(t *testing.T, conns *Conns) (net.Conn, *Conn) {
	t.Helper()
	listener := listen(t, conns)
	client := dial(t, listener)
	return client, accept(t, listener)
}

// acceptInBackground accepts a connection and sends it to the channel.
func acceptInBackground(t *testing.T, listener net.Listener) <-chan *Conn {
	t.Helper()
	accepted := make(chan *Conn, 1)
	go func() {
		netConn, err := listener.Accept()
		if err != nil {
			t.Error(err)
			return
		}
		accepted <- netConn.(*Conn)
	}()
	return accepted
}

// acceptErrInBackground accepts a connection in the background and sends the error to the channel.
func acceptErrInBackground(listener net.Listener) <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := listener.Accept()
		ended <- err
	}()
	return ended
}

// forEachConnAwaitingRequest runs a subtest for a new connection, and one for a connection
// between two requests.
func forEachConnAwaitingRequest(t *testing.T, test func(t *testing.T, conns *Conns, client net.Conn, c *Conn)) {
	t.Helper()
	for name, prepare := range map[string]func(conns *Conns, c *Conn){
		"on a new connection":  func(*Conns, *Conn) {},
		"between two requests": makeIdle,
	} {
		t.Run(name, func(t *testing.T) {
			conns := newTestConns(5)
			client, c := acceptConn(t, conns)
			prepare(conns, c)
			test(t, conns, client, c)
		})
	}
}

// withLock calls a function that needs the lock of the set.
func withLock(conns *Conns, call func()) {
	conns.mu.Lock()
	defer conns.mu.Unlock()
	call()
}

// hasWaiters reports whether somebody waits for a change of the set's connections.
func (cs *Conns) hasWaiters() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.changed != nil
}

// makeIdle passes c through a request, to the time between two requests.
func makeIdle(conns *Conns, c *Conn) {
	c.RequestComplete()
	conns.ConnState(c, http.StateIdle)
}

// send writes text to a connection.
func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// sendUnread writes text to the client's end and waits until it has arrived at node.
func sendUnread(t *testing.T, client net.Conn, c *Conn, text string) {
	t.Helper()
	send(t, client, text)
	waitForSocketState(t, c, sockstate.Readable)
}

// closeClient closes the client's end of a connection.
func closeClient(t *testing.T, client net.Conn) {
	t.Helper()
	if err := client.Close(); err != nil {
		t.Fatal(err)
	}
}

// waitForSocketState waits until the socket of c shows a state.
func waitForSocketState(t *testing.T, c *Conn, want sockstate.State) {
	t.Helper()
	testkit.Until(t, "the connection to be "+want.String(), func() bool { return sockstate.Peek(c.Conn) == want })
}

// setReadDeadline sets the deadline as net/http does.
func setReadDeadline(t *testing.T, c *Conn, deadline time.Time) {
	t.Helper()
	if err := c.SetReadDeadline(deadline); err != nil {
		t.Fatal(err)
	}
}

// readErrInBackground reads from c in the background and sends the error when Read returns.
// Closing c ends it.
func readErrInBackground(c *Conn) <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 10))
		ended <- err
	}()
	return ended
}

// expectRead reads once into a buffer larger than want and fails the test unless
// it gets exactly want.
func expectRead(t *testing.T, c *Conn, want string) {
	t.Helper()
	buffer := make([]byte, 10)
	if n, err := c.Read(buffer); string(buffer[:n]) != want || err != nil {
		t.Fatalf("read %q, %v; want %q", buffer[:n], err, want)
	}
}

// expectReadError reads once and reports a fault unless Read fails without bytes.
func expectReadError(t *testing.T, c *Conn) {
	t.Helper()
	if n, err := c.Read(make([]byte, 10)); n != 0 || err == nil {
		t.Errorf("read %d bytes, %v; want 0 bytes and an error", n, err)
	}
}

func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
