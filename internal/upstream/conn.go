package upstream

import (
	"bufio"
	"net"
	"time"
)

// conn is a connection to a server.
type conn struct {
	net.Conn
	server *server
	reader *bufio.Reader
	budget int           // bytes that the present answer may still have
	span   time.Duration // and how long it may take from its first byte
	ended  error         // what reading met when the connection broke or ended
	used   bool          // it comes from the pool
	since  time.Time
}
