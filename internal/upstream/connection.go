package upstream

import (
	"bufio"
	"net"
	"time"

	"calicohinge/internal/httphead"
	"calicohinge/internal/sockstate"
)

// connection is a connection to a server. While it is idle, Pool.mu guards it. While an attempt uses
// it, only the Send of that attempt accesses it.
type connection struct {
	net.Conn
	server            *server
	reader            *bufio.Reader // reads from connection.Read
	responseBytesLeft int           // number of bytes that the current response may still take
	responseMemory    *responseMemory
	head              httphead.Scanner
	readErr           error     // error of the last read from the socket, or nil
	reusable          bool      // the pool may keep the connection for another request
	surplus           bool      // the server has sent bytes that belong to no request
	reused            bool      // the pool has kept the connection before
	idleSince         time.Time // when the connection last became idle
}

func newConnection(socket net.Conn, target *server) *connection {
	conn := &connection{Conn: socket, server: target, reusable: true}
	conn.reader = bufio.NewReader(conn)
	return conn
}

// Read implements io.Reader. It returns errResponseTooLarge when the current response has reached its
// maximum size, and another error if its head has too many lines or needs memory that is not free.
func (c *connection) Read(buffer []byte) (int, error) {
	if c.responseBytesLeft <= 0 {
		return 0, errResponseTooLarge
	}
	limit := min(len(buffer), c.responseBytesLeft)
	if !c.head.Complete() {
		limit = min(limit, httphead.MaxReadSize)
	}
	n, err := c.Conn.Read(buffer[:limit])
	c.responseBytesLeft -= n
	c.readErr = err
	if headErr := c.scanHead(buffer[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// scanHead accounts for received bytes of a response. It returns an error if its head has too many lines, or needs
// memory that is not free.
func (c *connection) scanHead(received []byte) error {
	c.head.Scan(received)
	if c.head.TooManyLines() {
		return errTooManyHeadLines
	}
	return c.responseMemory.ensure(c.head.Memory())
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
