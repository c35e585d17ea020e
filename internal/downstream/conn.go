package downstream

import (
	"container/list"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"calicohinge/internal/sockstate"
)

// Conn is a client connection in a set. It implements net.Conn.
type Conn struct {
	net.Conn
	raw       syscall.RawConn // of the embedded connection
	conns     *Conns
	overLimit bool // set at its admission

	// The fields below are guarded by conns.mu.
	state     connState
	since     time.Time     // when it was put at the end of its queue
	element   *list.Element // in the queue of its state; nil if the state has none
	readAhead []byte        // received while a request was active, not yet returned by Read
	readErr   error         // the error that ended reading
	queueTime time.Duration // see QueueTime
	awaiting  bool          // Read waits for bytes of a request: all that came before is with its caller
}

// errClosed is what Read returns on a connection that this node has closed. net/http
// answers a read error with status 400 unless the error is of this type.
var errClosed = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// newConn returns a connection that is not admitted yet.
func newConn(netConn net.Conn, conns *Conns) (*Conn, error) {
	raw, err := rawConn(netConn)
	if err != nil {
		return nil, fmt.Errorf("no socket below %T: %w", netConn, err)
	}
	return &Conn{Conn: netConn, raw: raw, conns: conns}, nil
}

// Read implements net.Conn. It reads the socket under the lock that also guards the
// closing of the connection: one that was closed is not read any more, and one from
// which a byte was read is not closed as idle.
//
// While a request is active, Read returns no bytes but buffers them for the next
// request. net/http reads in the background at that time and stops at the first
// byte; it could not notice any more that the client disconnects.
func (c *Conn) Read(p []byte) (n int, err error) {
	for {
		waitErr := c.raw.Read(func(fd uintptr) (done bool) {
			n, done, err = c.receive(int(fd), p)
			return done
		})
		if waitErr == nil {
			return n, err
		}
		if !c.requestArrivedLate(waitErr) {
			return 0, waitErr
		}
	}
}

// requestArrivedLate is called when Read stops waiting for bytes. It returns true if that
// was the idle or read timeout of a connection without a request, and a request has arrived
// by now: a busy node finds both at once, and its client waits for a response. The request
// has the partial grace period to be complete.
func (c *Conn) requestArrivedLate(waitErr error) bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.awaiting = false
	if !errors.Is(waitErr, os.ErrDeadlineExceeded) || c.state != stateNoData && c.state != stateIdle ||
		!c.hasUnreadBytes() {
		return false
	}
	c.conns.beginRequest(c)
	return c.SetReadDeadline(time.Now().Add(partialGracePeriod)) == nil
}

// receive reads what has arrived without waiting. It returns done=false if Read has
// to wait for the socket to become readable.
func (c *Conn) receive(fd int, p []byte) (n int, done bool, err error) {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.awaiting = false
	switch {
	case c.state == stateClosed:
		return 0, true, errClosed
	case c.isBackgroundRead(p):
		err = c.receiveInBackground(fd)
		return 0, err != nil, err
	}
	n, err = c.receiveRequest(fd, p)
	if n > 0 && (c.state == stateNoData || c.state == stateIdle) {
		c.conns.beginRequest(c)
	}
	done = n > 0 || err != nil
	if !done {
		c.awaiting = true
		c.conns.notify()
	}
	return n, done, err
}

// isBackgroundRead reports whether net/http reads into p only to notice that the
// client disconnects. It does so from the last byte of a request on, by reading a
// single byte, possibly before RequestComplete is called; a body is read in larger
// pieces. The caller holds conns.mu.
func (c *Conn) isBackgroundRead(p []byte) bool {
	return c.state == stateActive || c.state == stateLingering || len(p) == 1 && c.state != stateReadingHead
}

// receiveInBackground returns an error if the client has disconnected. The caller
// holds conns.mu.
func (c *Conn) receiveInBackground(fd int) error {
	switch {
	case c.state == stateLingering:
		if sockstate.Peek(c.Conn) == sockstate.Closed {
			return io.EOF
		}
	case !c.conns.closing:
		c.fillReadAhead(fd)
	}
	return c.readErr
}

// receiveRequest reads a part of a request: 0 bytes and no error if nothing has
// arrived. The caller holds conns.mu.
func (c *Conn) receiveRequest(fd int, p []byte) (n int, err error) {
	switch {
	case len(c.readAhead) > 0:
		return c.takeReadAhead(p), nil
	case c.readErr != nil:
		return 0, c.readErr
	}
	n, c.readErr = readNonBlocking(fd, p)
	return n, c.readErr
}

// RequestComplete records that a request was read to its last byte. It is active
// from now on, until ConnState is called with http.StateIdle.
func (c *Conn) RequestComplete() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.conns.completeRequest(c)
}

// ClientDisconnected reports whether the client of the active request has
// disconnected, by the present state of the socket and not by what net/http has
// noticed so far. It returns true also if the client has sent more than fits the
// read-ahead buffer. Between two requests, and once the connections are being closed,
// it reads nothing: what arrives then belongs to a request that may be sent to another
// node.
func (c *Conn) ClientDisconnected() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	switch {
	case c.state == stateClosed || c.readErr != nil:
		return true
	case c.state != stateActive:
		return false // the request has its answer, its attempts are revoked
	case c.conns.closing:
		return sockstate.Peek(c.Conn) == sockstate.Closed
	}
	if err := c.raw.Control(func(fd uintptr) { c.fillReadAhead(int(fd)) }); err != nil {
		return true
	}
	return c.readErr != nil
}

// OverLimit reports whether the connection was accepted from the reserve: its
// request is to be rejected.
func (c *Conn) OverLimit() bool { return c.overLimit }

// QueueTime returns how long the present request may have waited for its connection to be
// accepted and admitted, at most: 0 unless it is the first on the connection.
func (c *Conn) QueueTime() time.Duration {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.queueTime
}

func (c *Conn) setQueueTime(d time.Duration) {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.queueTime = d
}

// hasUnreadBytes reports whether bytes have arrived that nobody has read.
func (c *Conn) hasUnreadBytes() bool { return sockstate.Peek(c.Conn) == sockstate.Readable }

// Closed reports whether the connection has been closed by this node.
func (c *Conn) Closed() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.state == stateClosed
}

// Lingering reports whether LingeringClose was called.
func (c *Conn) Lingering() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.state == stateLingering
}
