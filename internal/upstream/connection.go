package upstream

import (
	"bufio"
	"net"
	"time"

	"calicohinge/internal/sockstate"
)

// connection is a connection to a server. While it is idle the pool's lock guards
// it; while it is acquired only its Send uses it.
type connection struct {
	net.Conn
	server            *server
	reader            *bufio.Reader // reads through connection.Read
	responseBytesLeft int           // bytes that the present response may still take
	readErr           error         // result of the last read from the socket
	reusable          bool          // the pool may keep it for a further request
	reused            bool          // the pool has kept it before
	idleSince         time.Time     // when the pool last kept it
}

func newConnection(socket net.Conn, target *server) *connection {
	conn := &connection{Conn: socket, server: target, reusable: true}
	conn.reader = bufio.NewReader(conn)
	return conn
}

// Read implements io.Reader. It bounds what a server may send for one request and
// returns errResponseTooLarge beyond that.
func (c *connection) Read(buffer []byte) (int, error) {
	if c.responseBytesLeft <= 0 {
		return 0, errResponseTooLarge
	}
	n, err := c.Conn.Read(buffer[:min(len(buffer), c.responseBytesLeft)])
	c.responseBytesLeft -= n
	c.readErr = err
	return n, err
}

// readyForRequest reports whether the connection is open and has nothing to read. Bytes that arrive
// before a request is written cannot belong to its response.
func (c *connection) readyForRequest() bool { return sockstate.Peek(c.Conn) == sockstate.Quiet }

// setReadDeadline sets the time at which reads fail; zero is none.
func (c *connection) setReadDeadline(deadline time.Time) {
	_ = c.SetReadDeadline(deadline) // fails on a closed connection, as the next read does
}

// setWriteDeadline sets the time at which writes fail; zero is none.
func (c *connection) setWriteDeadline(deadline time.Time) {
	_ = c.SetWriteDeadline(deadline) // fails on a closed connection, as the next write does
}

// abort closes the socket; reads and writes in progress fail.
func (c *connection) abort() {
	_ = c.Close() // nothing is buffered for writing that an error could concern
}
