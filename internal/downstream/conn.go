package downstream

import (
	"container/list"
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"calicohinge/internal/sockstate"
)

// Conn is a connection that counts. It is in one of the lists, or at work.
type Conn struct {
	net.Conn
	raw       syscall.RawConn
	conns     *Conns
	overLimit bool // accepted over the cap

	// The fields below are guarded by conns.mu.
	queue       *list.List
	element     *list.Element
	since       time.Time // in this list
	readAhead   []byte    // what came while it was at work
	readErr     error     // what reading met when the client left
	lingering   bool      // it has had its last answer: nothing is read any more
	closed      bool
	readingHead bool // the head of a request is being read
}

// Read implements net.Conn. The bytes leave the socket under the same lock as the
// connection is shut: one that was shut is not read any more, and one that was read
// is not shut as idle. While a request is at work no byte is handed on: that would
// end net/http's reading, by which it sees the client leave.
func (c *Conn) Read(p []byte) (n int, err error) {
	waiting := c.raw.Read(func(fd uintptr) (done bool) {
		n, done, err = c.receive(int(fd), p)
		return done
	})
	if waiting != nil {
		return 0, waiting
	}
	return n, err
}

// receive reads what is there; not done if there is nothing yet.
func (c *Conn) receive(fd int, p []byte) (n int, done bool, err error) {
	cs := c.conns
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if c.closed {
		return 0, true, net.ErrClosed
	}
	// By reading a single byte net/http watches for the client's leaving, from a request's last
	// byte on: a body is read in larger pieces. It may come before RequestComplete is called.
	if c.queue == nil || len(p) == 1 && !c.readingHead {
		switch {
		case c.lingering && sockstate.Peek(c.Conn) == sockstate.Closed:
			return 0, true, io.EOF
		case !c.lingering && !cs.readingStopped:
			c.fillReadAhead(fd)
		}
		return 0, c.readErr != nil, c.readErr
	}
	switch {
	case len(c.readAhead) > 0: // was taken, and is answered also by a node that ends
		n = copy(p, c.readAhead)
		if c.readAhead = c.readAhead[n:]; len(c.readAhead) == 0 {
			c.readAhead = nil
		}
	case c.readErr != nil:
		return 0, true, c.readErr
	case cs.readingStopped:
		return 0, true, net.ErrClosed
	default:
		if n, err = readNonBlocking(fd, p); err != nil {
			c.readErr = err
			return 0, true, err
		}
	}
	if n > 0 && (c.queue == &cs.silent || c.queue == &cs.idle) {
		cs.move(c, &cs.partial)
	}
	return n, n > 0, nil
}

// ClientDisconnected tells whether the client of the request at work has left, by what its socket
// says this moment, however busy the node is and whatever bytes lie ahead. Nothing is read
// that may be a request to come once this one has its answer, or in the end of a stop.
func (c *Conn) ClientDisconnected() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	switch {
	case c.closed || c.readErr != nil:
		return true
	case c.queue != nil:
		return false // its attempts are revoked
	case c.conns.readingStopped:
		return sockstate.Peek(c.Conn) == sockstate.Closed
	}
	if err := c.raw.Control(func(fd uintptr) { c.fillReadAhead(int(fd)) }); err != nil {
		return true
	}
	return c.readErr != nil
}

// RequestComplete tells that a request has come to its last byte.
func (c *Conn) RequestComplete() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if !c.closed {
		c.conns.move(c, nil)
	}
}

// OverLimit reports whether the connection was accepted over the limit.
func (c *Conn) OverLimit() bool { return c.overLimit }

// Closed reports whether the connection has been closed by this node.
func (c *Conn) Closed() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.closed
}

// Lingering reports whether the connection has had its last answer.
func (c *Conn) Lingering() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.lingering
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.conns.mu.Lock()
	first := c.conns.close(c)
	c.conns.mu.Unlock()
	if !first {
		return nil
	}
	return c.Conn.Close() // with no lock: it waits for a reader, which waits for the lock
}

// CloseWrite lets a client that still sends see the end of its answer.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// LingeringClose ends the sending behind a last answer and waits for the client's close, for a
// while. A close of ours over bytes that arrive is a reset: what of the answer is on its way is lost.
func (c *Conn) LingeringClose(ctx context.Context) {
	c.conns.mu.Lock()
	c.lingering = true
	c.conns.mu.Unlock()
	c.CloseWrite()
	select {
	case <-ctx.Done():
	case <-time.After(c.conns.config.LingerTimeout):
	}
}
