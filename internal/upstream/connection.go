package upstream

import (
	"bufio"
	"net"
	"time"
)

// connection is a connection to a server.
type connection struct {
	net.Conn
	server              *server
	reader              *bufio.Reader
	responseBudget      int           // bytes that the present answer may still have
	responseReadTimeout time.Duration // and how long it may take from its first byte
	readErr             error         // what reading met when the connection broke or ended
	reused              bool          // it comes from the pool
	idleSince           time.Time
}
