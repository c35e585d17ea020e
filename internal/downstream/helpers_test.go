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
	// testMaxReadAheadBytes is the Config.MaxReadAheadBytes of the tests.
	testMaxReadAheadBytes = 80 << 10
	// testReadTimeout is short because tests wait until it expires.
	testReadTimeout = 2 * time.Second
)

func newTestConns(maxOpen int) *Conns {
	return NewConns(Config{
		MaxOpen:           maxOpen,
		MaxReadAheadBytes: testMaxReadAheadBytes,
		ReadTimeout:       testReadTimeout,
		LingerTimeout:     DefaultLingerTimeout,
	})
}

// listen returns a listener that admits connections to conns.
func listen(t *testing.T, conns *Conns) *Listener {
	t.Helper()
	listener := conns.NewListener(testkit.Listen(t))
	t.Cleanup(func() { _ = listener.Close() }) // a test may have closed it
	return listener
}

// dial returns the client end of a connection that is not accepted yet.
func dial(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() }) // a test may have closed it
	return client
}

// accept accepts the next connection and returns the node's end of it.
func accept(t *testing.T, listener net.Listener) *Conn {
	t.Helper()
	netConn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = netConn.Close() }) // a test may have closed it
	return netConn.(*Conn)
}

// acceptConn returns the client end and the node end of a connection that is admitted to conns.
func acceptConn(t *testing.T, conns *Conns) (net.Conn, *Conn) {
	t.Helper()
	listener := listen(t, conns)
	client := dial(t, listener)
	return client, accept(t, listener)
}

// acceptInBackground accepts a connection in the background and sends it to the returned channel.
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

// acceptErrInBackground calls Accept in the background and sends its error to the returned channel.
func acceptErrInBackground(listener net.Listener) <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := listener.Accept()
		ended <- err
	}()
	return ended
}

// forEachConnAwaitingRequest runs a subtest with a new connection and one with a connection between
// two requests.
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

// withLock calls a function with conns.mu held.
func withLock(conns *Conns, call func()) {
	conns.mu.Lock()
	defer conns.mu.Unlock()
	call()
}

// hasWaiters reports whether a goroutine waits for a change of a connection in the set.
func (cs *Conns) hasWaiters() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.changed != nil
}

// makeIdle puts c into stateIdle by completing a request and its response.
func makeIdle(conns *Conns, c *Conn) {
	c.MarkRequestRead()
	conns.HandleConnState(c, http.StateIdle)
}

// send writes text to a connection.
func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// sendUnread writes text to the client end and waits until it has arrived at the socket of c.
func sendUnread(t *testing.T, client net.Conn, c *Conn, text string) {
	t.Helper()
	send(t, client, text)
	waitForSocketState(t, c, sockstate.Readable)
}

// closeClient closes the client end of a connection.
func closeClient(t *testing.T, client net.Conn) {
	t.Helper()
	if err := client.Close(); err != nil {
		t.Fatal(err)
	}
}

// waitForSocketState waits until the socket of c is in the wanted state.
func waitForSocketState(t *testing.T, c *Conn, want sockstate.State) {
	t.Helper()
	testkit.WaitUntil(t, "the connection to be "+want.String(), func() bool { return sockstate.Peek(c.Conn) == want })
}

// setReadDeadline sets the read deadline of c, as net/http does.
func setReadDeadline(t *testing.T, c *Conn, deadline time.Time) {
	t.Helper()
	if err := c.SetReadDeadline(deadline); err != nil {
		t.Fatal(err)
	}
}

// readErrInBackground calls Read in the background and sends its error to the returned channel.
// Closing c ends the read.
func readErrInBackground(c *Conn) <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 10))
		ended <- err
	}()
	return ended
}

// expectRead reads once into a buffer larger than want and fails the test unless exactly want is
// read.
func expectRead(t *testing.T, c *Conn, want string) {
	t.Helper()
	buffer := make([]byte, 10)
	if n, err := c.Read(buffer); string(buffer[:n]) != want || err != nil {
		t.Fatalf("Read: got %q, error %v; want %q, no error", buffer[:n], err, want)
	}
}

// expectReadError reads once and reports a test error unless Read fails without returning bytes.
func expectReadError(t *testing.T, c *Conn) {
	t.Helper()
	if n, err := c.Read(make([]byte, 10)); n != 0 || err == nil {
		t.Errorf("Read: got %d bytes, error %v; want 0 bytes, an error", n, err)
	}
}

// canceledContext returns a context that is already done.
func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
