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

// reconnectDelay is the pause of a client that failed to connect to its node.
const reconnectDelay = 20 * time.Millisecond

// Errors that are not failures of the node.
var (
	errDisconnected = errors.New("client disconnected")
	errRestarted    = errors.New("node restarted while the client connected")
)

// client sends requests to a node, one at a time. It continues while the node shuts down and restarts. A
// client with keepAlive reuses its connection until the node closes it.
type client struct {
	name      string
	node      *node
	history   *history.History
	classes   []scenario.Class
	random    *rand.Rand
	keepAlive bool
	meanPause time.Duration // between two requests
	ended     <-chan struct{}

	incarnation  *history.Incarnation // the incarnation of the node that conn leads to
	conn         net.Conn
	reader       *bufio.Reader
	requestCount int
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

// sendRequest sends a request. The node may close an idle connection while the client writes to it; sendRequest
// then sends another request on a new connection.
func (c *client) sendRequest() {
	for again := true; again; {
		again = c.trySend()
	}
}

// trySend sends a request and records its result. It returns true if the node closed a reused connection without
// sending any byte of a response.
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

// resetInAcceptQueue reports whether err is a reset that a node may cause when it shuts down: the system resets
// the connections that the node has not accepted yet. No node has read the request of such a connection.
func (c *client) resetInAcceptQueue(responded bool, err error) bool {
	return errors.Is(err, syscall.ECONNRESET) && !responded && c.incarnation.Terminated()
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
	if c.node.incarnation() != current { // it restarted meanwhile: the connection may lead to either incarnation
		_ = conn.Close() // nothing was sent
		return errRestarted
	}
	c.incarnation, c.conn, c.reader = current, conn, bufio.NewReader(conn)
	return nil
}

// disconnect closes the connection if one is open.
func (c *client) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close() // the client expects no further data
		c.conn = nil
	}
}
