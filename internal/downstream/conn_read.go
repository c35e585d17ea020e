package downstream

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"calicohinge/internal/sockstate"
)

// errClosed is the error of Read on a connection that this node has closed. After a read error of
// any other type, net/http would send a response with status 400.
var errClosed = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// Read implements net.Conn. It holds conns.mu while it reads from the socket. Therefore nothing is
// read from a connection that is marked closed, and a connection from which a byte has been read is
// not closed as idle.
//
// While a request is active, Read returns no bytes but buffers them for the next request. net/http
// reads in the background during that time to detect a disconnect, and would stop at the first byte.
func (c *Conn) Read(p []byte) (int, error) {
	var n int
	var err error
	for {
		waitErr := c.raw.Read(func(fd uintptr) bool {
			n, err = c.receive(int(fd), p)
			return n > 0 || err != nil // false: wait until the socket is readable
		})
		if errors.Is(err, errNoHeadMemory) {
			c.rejectForMemory()
			return 0, errClosed
		}
		if waitErr == nil {
			return n, err
		}
		if !c.resumeForRequest(waitErr) {
			return 0, waitErr
		}
	}
}

// resumeForRequest is called when Read's wait for the socket ends with an error. If a connection
// without a request has timed out but bytes of a request have arrived, it begins the request and
// returns true: a busy node may observe the timeout and the request at the same time. The rest of
// the request must arrive within partialGracePeriod.
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

// receive reads without blocking. It returns 0 bytes and no error if Read must wait until the socket
// is readable.
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
		c.endTurn()
		c.conns.wakeWaiters()
	}
	return n, err
}

// isBackgroundRead reports whether net/http reads into p only to detect a disconnect. net/http starts
// this read of a single byte after the last byte of a request, possibly before MarkRequestRead is
// called. It reads bodies in larger pieces. The caller holds conns.mu.
func (c *Conn) isBackgroundRead(p []byte) bool {
	if c.state == stateActive || c.state == stateLingering {
		return true
	}
	return len(p) == 1 && c.state != stateReadingHead
}

// receiveInBackground returns an error if the client has disconnected or reading has failed. Unless
// the connection is lingering or the set is in stageClosing, it moves received bytes to the
// read-ahead buffer. The caller holds conns.mu.
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

// receiveRequest reads a part of a request, from the read-ahead buffer first. It returns 0 bytes and
// no error if nothing has arrived. The caller holds conns.mu.
func (c *Conn) receiveRequest(fd int, p []byte) (int, error) {
	switch {
	case len(c.readAhead) > 0:
		n := c.takeReadAhead(limitRead(p))
		if err := c.scanHead(p[:n]); err != nil {
			c.readErr = err
			return 0, err
		}
		return n, nil
	case c.readErr != nil:
		return 0, c.readErr
	}
	n, err := readNonBlocking(fd, limitRead(p))
	c.readErr = err
	if headErr := c.scanHead(p[:n]); headErr != nil {
		c.readErr = headErr
		return 0, headErr
	}
	return n, err
}
