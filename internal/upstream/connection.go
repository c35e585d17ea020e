package upstream

import (
	"net"
	"time"

	"calicohinge/internal/sockstate"
)

// connection is a connection to a server. While it is idle, Pool.mu guards it. While an attempt uses
// it, only the Send of that attempt accesses it. It outlives attempts, so it refers to nothing that belongs
// to one: that is in exchange.
type connection struct {
	net.Conn
	server     *server
	reusable   bool      // the pool may keep the connection for another request
	unfinished bool      // a request was begun, and its response or its delivery is not complete
	surplus    bool      // the server has sent bytes that belong to no request
	reused     bool      // the pool has kept the connection before
	idleSince  time.Time // when the connection last became idle
}

// withdrawOnClose and deliverOnClose are values of the socket option SO_LINGER, in seconds. With the first one the
// system resets the connection and discards what it has not delivered, also when the process is killed. With the second
// one it goes on delivering after the connection or the process has ended.
const (
	withdrawOnClose = 0
	deliverOnClose  = -1
)

// newConnection returns a connection that withdraws the undelivered part of a request when it is closed, unless it is
// closed by closeInOrder.
func newConnection(socket net.Conn, target *server) *connection {
	conn := &connection{Conn: socket, server: target, reusable: true}
	conn.setLinger(withdrawOnClose)
	return conn
}

// readyForRequest reports whether the connection is open and has no unread bytes. Bytes that arrive
// before a request is written cannot belong to its response: they are surplus.
func (c *connection) readyForRequest() bool {
	state := sockstate.Peek(c.Conn)
	c.surplus = state == sockstate.Readable
	return state == sockstate.Idle
}

// setReadDeadline sets the time after which reads fail. The zero time removes the deadline.
func (c *connection) setReadDeadline(deadline time.Time) {
	_ = c.SetReadDeadline(deadline) // an error means that the connection is closed; the next read fails too
}

// setWriteDeadline sets the time after which writes fail. The zero time removes the deadline.
func (c *connection) setWriteDeadline(deadline time.Time) {
	_ = c.SetWriteDeadline(deadline) // an error means that the connection is closed; the next write fails too
}

// setLinger sets the socket option SO_LINGER.
func (c *connection) setLinger(seconds int) {
	if socket, ok := c.Conn.(*net.TCPConn); ok {
		_ = socket.SetLinger(seconds) // without the option, the system closes the connection in its default way
	}
}

// undelivered reports whether the server's system has not acknowledged a part of what was written. It returns false if
// this system does not tell.
func (c *connection) undelivered() bool {
	bytes, known := sockstate.Unacknowledged(c.Conn)
	return known && bytes > 0
}

// abort resets the connection. Reads and writes in progress fail, and what the server's system has not received never
// reaches it.
func (c *connection) abort() {
	_ = c.Close() // after an error there is nothing left to close
}

// closeInOrder closes a connection without a request.
func (c *connection) closeInOrder() {
	c.setLinger(deliverOnClose)
	_ = c.Close() // after an error there is nothing left to close
}
