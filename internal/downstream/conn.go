package downstream

import (
	"container/list"
	"net"
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
	state        connState
	graceStart   time.Time     // when it was put at the end of its queue
	queueElement *list.Element // in the queue of its state; nil if the state has none
	readAhead    []byte        // received while a request was active, not yet returned by Read
	readErr      error         // the error that ended reading
	queueTime    time.Duration // see QueueTime
	readBlocked  bool          // Read has returned all that arrived of a request, and waits for more
}

// newConn returns a connection that is not admitted yet, or a *connError.
func newConn(netConn net.Conn, conns *Conns) (*Conn, error) {
	raw, err := rawConn(netConn)
	if err != nil {
		return nil, &connError{conn: netConn, err: err}
	}
	return &Conn{Conn: netConn, raw: raw, conns: conns}, nil
}

// RequestComplete records that a request was read to its last byte. It is active
// from now on, until ConnState is called with http.StateIdle.
func (c *Conn) RequestComplete() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.conns.completeRequest(c)
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

// setQueueTime sets what QueueTime returns for the first request.
func (c *Conn) setQueueTime(d time.Duration) {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.queueTime = d
}

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

// hasUnreadBytes reports whether bytes have arrived that nobody has read.
func (c *Conn) hasUnreadBytes() bool { return sockstate.Peek(c.Conn) == sockstate.Readable }
