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
	server    *server
	reusable  bool      // the pool may keep the connection for another request
	surplus   bool      // the server has sent bytes that belong to no request
	reused    bool      // the pool has kept the connection before
	idleSince time.Time // when the connection last became idle
}

func newConnection(socket net.Conn, target *server) *connection {
	return &connection{Conn: socket, server: target, reusable: true}
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

// abort closes the connection. Reads and writes in progress fail.
func (c *connection) abort() {
	_ = c.Close() // no written data is buffered, so an error loses nothing
}
