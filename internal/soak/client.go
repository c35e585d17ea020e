package soak

import (
	"bufio"
	"errors"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"calicohinge/internal/soak/history"
	"calicohinge/internal/soak/scenario"
	"calicohinge/internal/testkit"
)

// reconnectDelay is the pause of a client after a failure to connect to its node.
const reconnectDelay = 20 * time.Millisecond

// Errors of an exchange or a connection that are not failures of the node.
var (
	errDisconnected = errors.New("client disconnected")
	errRestarted    = errors.New("node restarted while the client connected")
)

// client sends requests to a node, one at a time. It continues while the node shuts down and restarts.
type client struct {
	name      string
	node      *node
	history   *history.History
	classes   []scenario.Class
	random    *rand.Rand
	keepAlive bool            // whether the client reuses its connection until the node closes it
	meanPause time.Duration   // mean pause between two requests
	ended     <-chan struct{} // closed when the client must stop

	incarnation  *history.Incarnation // the incarnation of the node at the other end of conn
	conn         net.Conn             // nil if no connection is open
	reader       *bufio.Reader
	requestCount int // number of requests so far, which is also the number in the ID of the current request
}

// run sends requests until ended is closed.
func (c *client) run() {
	defer c.disconnect()
	for {
		select {
		case <-c.ended:
			return
		case <-time.After(time.Duration(c.random.ExpFloat64() * float64(c.meanPause))):
		}
		c.sendRequest()
	}
}

// sendRequest sends a request. If the node closes an idle connection while the client writes a request to it,
// sendRequest sends another request on a new connection.
func (c *client) sendRequest() {
	for again := true; again; {
		again = c.trySend()
	}
}

// trySend sends a request and records its result. It returns true if the node closed a reused connection
// without sending any byte of a response. The client must then send another request.
func (c *client) trySend() bool {
	reused := c.conn != nil
	if err := c.connect(); err != nil {
		time.Sleep(reconnectDelay) // the node is restarting or shut down
		return false
	}
	responded, err := c.exchange()
	if err == nil {
		c.history.CountResponse()
		return false
	}
	c.disconnect()
	racedClose := reused && !responded && !testkit.IsTimeout(err)
	switch {
	case errors.Is(err, errDisconnected):
	case racedClose:
		return true
	case c.resetInAcceptQueue(responded, err):
		c.history.CountReset()
	default:
		c.history.RecordViolationf("lost", c.incarnation,
			"request %s (connection reused: %v, partial response: %v) failed with %q, want a response",
			c.requestID(), reused, responded, err)
	}
	return false
}

// resetInAcceptQueue reports whether err is a reset that the shutdown of a node may cause: the system resets the
// connections that the node has not accepted yet. The node has read no request from such a connection.
func (c *client) resetInAcceptQueue(responded bool, err error) bool {
	return errors.Is(err, syscall.ECONNRESET) && !responded && c.incarnation.SIGTERMSent()
}

// connect opens a connection to the node if none is open.
func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	current := c.node.incarnation()
	conn, err := net.Dial("tcp", c.node.addr)
	if err != nil {
		return err
	}
	if c.node.incarnation() != current { // the node restarted meanwhile: either incarnation may get the connection
		_ = conn.Close() // nothing was sent, so an error does not matter
		return errRestarted
	}
	c.incarnation, c.conn, c.reader = current, conn, bufio.NewReader(conn)
	return nil
}

// disconnect closes the connection if one is open.
func (c *client) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close() // the client expects no further data, so an error does not matter
		c.conn = nil
	}
}
