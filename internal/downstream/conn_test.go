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

// Bytes that arrive at a connection which was closed concurrently stay unread: nobody
// would respond to them. Only the caller that marked it closed gives its capacity back.
func TestReadAfterConcurrentCloseReturnsNothing(t *testing.T) {
	conns := newTestConns(1)
	client, c := acceptConn(t, conns)
	withLock(conns, func() { c.state = stateClosed }) // as by a concurrent caller of Conns.markClosed

	send(t, client, "GET")

	expectReadError(t, c)
	if err := c.Close(); err != nil {
		t.Errorf("second close: %v", err)
	}
	if open := conns.Open(); open != 1 {
		t.Errorf("%d connections are counted, want the one of the concurrent caller", open)
	}
	if err := c.Conn.Close(); err != nil {
		t.Error(err)
	}
}

// expireRead starts a read of c and sets a deadline that has passed. The deadline stays set.
func expireRead(t *testing.T, c *Conn) {
	t.Helper()
	ended := readErrInBackground(c)
	setReadDeadline(t, c, time.Unix(1, 0))
	if err := testkit.Wait(t, ended, "the reader"); !testkit.IsTimeout(err) {
		t.Fatalf("reading ended with %v", err)
	}
}

// The read deadline of a request may pass just as bytes arrive. net/http closes the connection
// then, and the bytes stay unread.
func TestReadAfterDeadlineLeavesBytesUnread(t *testing.T) {
	conns := newTestConns(5)
	client, c := acceptConn(t, conns)
	withLock(conns, func() { conns.beginRequest(c) })
	expireRead(t, c)
	sendUnread(t, client, c, "GET")
	n, err := c.Read(make([]byte, 10))
	if n != 0 || !testkit.IsTimeout(err) || sockstate.Peek(c.Conn) != sockstate.Readable {
		t.Errorf("%d bytes and %v after the deadline", n, err)
	}
	setReadDeadline(t, c, time.Time{})
	expectRead(t, c, "GET")
}

// A connection without a request may time out just as one arrives, or a busy node may find the
// timeout and the request at once. The request is read: otherwise its connection would be reset.
func TestRequestAtTheEndOfTheIdleTimeoutIsRead(t *testing.T) {
	forEachConnAwaitingRequest(t, func(t *testing.T, _ *Conns, client net.Conn, c *Conn) {
		t.Helper()
		expireRead(t, c)
		sendUnread(t, client, c, "GET")
		expectRead(t, c, "GET")
		if err := testkit.Wait(t, readErrInBackground(c), "the read timeout"); !testkit.IsTimeout(err) {
			t.Errorf("reading the rest ended with %v", err)
		}
	})
}

// On an idle connection net/http applies the read timeout only once four bytes have arrived.
// Until then the deadline of the idle timeout would stay: too early or too late for a request.
func TestFirstByteOfRequestStartsReadTimeout(t *testing.T) {
	t.Parallel()
	conns := newTestConns(5)
	client, c := acceptConn(t, conns)
	makeIdle(conns, c)
	setReadDeadline(t, c, time.Now().Add(time.Hour)) // as net/http does by its idle timeout
	send(t, client, "G")
	if n, err := c.Read(make([]byte, 10)); n != 1 || err != nil {
		t.Fatalf("read %d bytes, %v", n, err)
	}
	if err := testkit.Wait(t, readErrInBackground(c), "the read timeout"); !testkit.IsTimeout(err) {
		t.Errorf("reading ended with %v", err)
	}
}

// net/http watches for a disconnect by reading a single byte, and may do so before
// RequestComplete is called. If a client sends on behind its request and disconnects,
// Read must not return that byte: net/http would stop watching, and the attempts
// of the request would not be revoked.
func TestBackgroundReadReturnsNoBytes(t *testing.T) {
	conns := newTestConns(5)
	client, c := acceptConn(t, conns)
	send(t, client, "head")
	buffer := make([]byte, 2)
	for _, want := range []string{"he", "a", "d"} { // a head is returned in pieces of any size
		if n, err := c.Read(buffer[:len(want)]); string(buffer[:n]) != want || err != nil {
			t.Fatalf("read %q, %v", buffer[:n], err)
		}
	}
	conns.ConnState(c, http.StateActive)
	send(t, client, "body and more")
	if n, err := c.Read(make([]byte, 4)); n != 4 || err != nil {
		t.Fatalf("read %d bytes of the body, %v", n, err)
	}

	closeClient(t, client)

	// Compared without errors.Is: an io.Reader has to return io.EOF itself.
	if n, err := io.Reader(c).Read(buffer[:1]); n != 0 || err != io.EOF {
		t.Errorf("the background read got %d bytes, %v", n, err)
	}
	if string(c.readAhead) != " and more" {
		t.Errorf("%q is buffered for the next request", c.readAhead)
	}
}
