package downstream

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"calicohinge/internal/sockstate"
)

// errClosed is what Read returns on a connection that this node has closed. net/http
// writes a response with status 400 after a read error unless the error is of this type.
var errClosed = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// Read implements net.Conn. It reads the socket under the lock that also guards the
// closing of the connection: one that was closed is not read any more, and one from
// which a byte was read is not closed as idle.
//
// While a request is active, Read returns no bytes but buffers them for the next
// request. net/http reads in the background at that time and stops at the first
// byte; it could not notice any more that the client disconnects.
func (c *Conn) Read(p []byte) (int, error) {
	var n int
	var err error
	for {
		waitErr := c.raw.Read(func(fd uintptr) bool {
			n, err = c.receive(int(fd), p)
			return n > 0 || err != nil // false: wait until the socket is readable
		})
		if waitErr == nil {
			return n, err
		}
		if !c.resumeForRequest(waitErr) {
			return 0, waitErr
		}
	}
}

// resumeForRequest is called when the wait of Read ends with an error. It begins a request and
// returns true if a connection without a request has timed out and a request has arrived all
// the same: a busy node may find both at once. The request has to be complete within the
// partial grace period.
func (c *Conn) resumeForRequest(waitErr error) bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.readBlocked = false
	timedOutIdle := errors.Is(waitErr, os.ErrDeadlineExceeded) && c.state.awaitsRequest()
	if !timedOutIdle || !c.hasUnreadBytes() {
		return false
	}
	c.conns.beginRequest(c)
	return c.SetReadDeadline(time.Now().Add(partialGracePeriod)) == nil
}

// receive reads what has arrived without waiting: 0 bytes and no error if Read has to wait
// for the socket to become readable.
func (c *Conn) receive(fd int, p []byte) (int, error) {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.readBlocked = false
	switch {
	case c.state == stateClosed:
		return 0, errClosed
	case c.isBackgroundRead(p):
		return 0, c.receiveInBackground(fd)
	}
	n, err := c.receiveRequest(fd, p)
	if n > 0 && c.state.awaitsRequest() {
		c.conns.beginRequest(c)
	}
	if n == 0 && err == nil {
		c.readBlocked = true
		c.conns.wakeWaiters()
	}
	return n, err
}

// isBackgroundRead reports whether net/http reads into p only to notice that the
// client disconnects. It does so from the last byte of a request on, by reading a
// single byte, possibly before RequestComplete is called; a body is read in larger
// pieces. The caller holds conns.mu.
func (c *Conn) isBackgroundRead(p []byte) bool {
	if c.state == stateActive || c.state == stateLingering {
		return true
	}
	return len(p) == 1 && c.state != stateReadingHead
}

// receiveInBackground returns an error if the client has disconnected. The caller
// holds conns.mu.
func (c *Conn) receiveInBackground(fd int) error {
	switch {
	case c.state == stateLingering:
		if sockstate.Peek(c.Conn) == sockstate.Closed {
			return io.EOF
		}
	case c.conns.stage < stageClosing:
		c.fillReadAhead(fd)
	}
	return c.readErr
}

// receiveRequest reads a part of a request: 0 bytes and no error if nothing has
// arrived. The caller holds conns.mu.
func (c *Conn) receiveRequest(fd int, p []byte) (int, error) {
	switch {
	case len(c.readAhead) > 0:
		return c.takeReadAhead(p), nil
	case c.readErr != nil:
		return 0, c.readErr
	}
	n, err := readNonBlocking(fd, p)
	c.readErr = err
	return n, err
}
