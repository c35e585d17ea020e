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

// reconnectDelay is the pause of a client whose connection was refused.
const reconnectDelay = 20 * time.Millisecond

// The errors that are no failure of the node.
var (
	errDisconnected = errors.New("the client disconnected")
	errRestarted    = errors.New("the node was restarted")
)

// client sends requests to a node one after another, also while the node shuts down. It uses a connection
// for as long as that stays open.
type client struct {
	name      string
	node      *node
	history   *history.History
	classes   []scenario.Class
	random    *rand.Rand
	keepAlive bool
	meanPause time.Duration // mean between two requests
	ended     <-chan struct{}

	incarnation  *history.Incarnation // that the connection leads to
	conn         net.Conn
	reader       *bufio.Reader
	requestCount int
}

// run sends requests until the run has ended.
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

// sendRequest sends a request. If the node closes the connection without reading the request, as it may close
// an idle one, sendRequest sends another on a new connection.
func (c *client) sendRequest() {
	for again := true; again; {
		again = c.trySend()
	}
}

// trySend sends a request and records how it ended. It returns true if the request crossed the close of an
// idle connection.
func (c *client) trySend() bool {
	reused := c.conn != nil
	if err := c.connect(); err != nil {
		time.Sleep(reconnectDelay) // the node is being restarted
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
		c.history.RecordViolationf("lost", c.incarnation, "request %s, reused connection %v, part of a response %v: %v",
			c.requestID(), reused, responded, err)
	}
	return false
}

// resetInAcceptQueue reports whether err means that the connection was reset in the accept queue of a node that
// shuts down.
func (c *client) resetInAcceptQueue(responded bool, err error) bool {
	return errors.Is(err, syscall.ECONNRESET) && !responded && c.incarnation.Terminated()
}

// connect opens a connection unless there is one.
func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	current := c.node.incarnation()
	conn, err := net.Dial("tcp", c.node.addr)
	if err != nil {
		return err
	}
	if c.node.incarnation() != current { // restarted meanwhile: the connection may lead to either process
		_ = conn.Close() // nothing was sent on it
		return errRestarted
	}
	c.incarnation, c.conn, c.reader = current, conn, bufio.NewReader(conn)
	return nil
}

// disconnect closes the connection, if there is one.
func (c *client) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close() // nothing more is expected of it
		c.conn = nil
	}
}
