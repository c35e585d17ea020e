package downstream

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"calicohinge/internal/sockstate"
	"calicohinge/internal/testkit"
)

// Bytes that arrive on a connection that was closed concurrently stay unread, because they would not
// get a response. Only the caller that marked the connection closed decrements the number of open
// connections.
func TestReadAfterConcurrentCloseReturnsNothing(t *testing.T) {
	conns := newTestConns(1)
	client, c := acceptConn(t, conns)
	withLock(conns, func() { c.state = stateClosed }) // as a concurrent call of Conns.markClosed does

	send(t, client, "GET")

	expectReadError(t, c)
	if err := c.Close(); err != nil {
		t.Errorf("second Close: got error %v, want none", err)
	}
	if open := conns.Open(); open != 1 {
		t.Errorf("Open() = %d, want 1, because only the concurrent caller decrements the number", open)
	}
	if err := c.Conn.Close(); err != nil {
		t.Error(err)
	}
}

// expireRead starts a read from c and lets it time out. The expired deadline stays set.
func expireRead(t *testing.T, c *Conn) {
	t.Helper()
	ended := readErrInBackground(c)
	setReadDeadline(t, c, time.Unix(1, 0))
	if err := testkit.Receive(t, ended, "Read to return"); !testkit.IsTimeout(err) {
		t.Fatalf("Read: got error %v, want a timeout", err)
	}
}

// The read deadline of a request may expire at the moment when bytes arrive. net/http then closes
// the connection, so the bytes must stay unread.
func TestReadAfterDeadlineLeavesBytesUnread(t *testing.T) {
	conns := newTestConns(5)
	client, c := acceptConn(t, conns)
	withLock(conns, func() { conns.beginRequest(c) })
	expireRead(t, c)
	sendUnread(t, client, c, "GET")
	n, err := c.Read(make([]byte, 10))
	if n != 0 || !testkit.IsTimeout(err) || sockstate.Peek(c.Conn) != sockstate.Readable {
		t.Errorf("Read after the deadline: got %d bytes, error %v; want a timeout and the bytes unread", n, err)
	}
	setReadDeadline(t, c, time.Time{})
	expectRead(t, c, "GET")
}

// A connection without a request may time out at the moment when a request arrives, or a busy node
// may observe both at the same time. The request is read: otherwise the connection would be reset.
func TestRequestAtIdleTimeoutIsRead(t *testing.T) {
	forEachConnAwaitingRequest(t, func(t *testing.T, _ *Conns, client net.Conn, c *Conn) {
		t.Helper()
		expireRead(t, c)
		sendUnread(t, client, c, "GET")
		expectRead(t, c, "GET")
		if err := testkit.Receive(t, readErrInBackground(c), "the read timeout"); !testkit.IsTimeout(err) {
			t.Errorf("Read after the request: got error %v, want a timeout", err)
		}
	})
}

// On an idle connection, net/http applies the read timeout only after four bytes have arrived. Until
// then the deadline of the idle timeout would remain, which is too early or too late for a request.
func TestFirstByteOfRequestStartsReadTimeout(t *testing.T) {
	t.Parallel()
	conns := newTestConns(5)
	client, c := acceptConn(t, conns)
	makeIdle(conns, c)
	setReadDeadline(t, c, time.Now().Add(time.Hour)) // as net/http does for the idle timeout
	send(t, client, "G")
	if n, err := c.Read(make([]byte, 10)); n != 1 || err != nil {
		t.Fatalf("Read of the first byte: got %d bytes, error %v; want 1 byte, no error", n, err)
	}
	if err := testkit.Receive(t, readErrInBackground(c), "the read timeout"); !testkit.IsTimeout(err) {
		t.Errorf("Read: got error %v, want a timeout", err)
	}
}

// net/http detects disconnects by reading a single byte, possibly before MarkRequestRead is called.
// If a client sends more bytes after its request and then disconnects, Read must not return such a
// byte: net/http would stop reading, and the attempts of the request would not be revoked.
func TestBackgroundReadReturnsNoBytes(t *testing.T) {
	conns := newTestConns(5)
	client, c := acceptConn(t, conns)
	send(t, client, "head")
	buffer := make([]byte, 2)
	for _, want := range []string{"he", "a", "d"} { // a head may be read in pieces of any size
		if n, err := c.Read(buffer[:len(want)]); string(buffer[:n]) != want || err != nil {
			t.Fatalf("Read of the head: got %q, error %v; want %q, no error", buffer[:n], err, want)
		}
	}
	conns.HandleConnState(c, http.StateActive)
	send(t, client, "body and more")
	if n, err := c.Read(make([]byte, 4)); n != 4 || err != nil {
		t.Fatalf("Read of the body: got %d bytes, error %v; want 4 bytes, no error", n, err)
	}

	closeClient(t, client)

	// Compared without errors.Is: an io.Reader has to return io.EOF itself.
	if n, err := io.Reader(c).Read(buffer[:1]); n != 0 || err != io.EOF {
		t.Errorf("background Read: got %d bytes, error %v; want 0 bytes, %v", n, err, io.EOF)
	}
	if string(c.readAhead) != " and more" {
		t.Errorf("bytes buffered for the next request: got %q, want %q", c.readAhead, " and more")
	}
}
