package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"time"

	"calicohinge/internal/testkit"
)

// soakClient sends requests to a node one after another, on an open connection for as long as that stays
// open, also to a node that shuts down.
type soakClient struct {
	name      string
	node      *soakNode
	classes   []soakClass
	random    *rand.Rand
	keepAlive bool
	pause     time.Duration // mean between two requests
	lag       *schedulingLag
	ended     <-chan struct{}

	incarnation *soakIncarnation // that the connection leads to
	conn        net.Conn
	reader      *bufio.Reader
	sent        int
}

const (
	leaveShare   = 0.05 // of the requests whose clients disconnect early
	shortShare   = 0.2  // of the requests whose clients wait for less than the class's deadline
	refusedPause = 20 * time.Millisecond
	// answerGrace is how long after its deadline a request may still be answered: it earns nothing, and is
	// not lost.
	answerGrace = 500 * time.Millisecond
	// lagAllowance is how much longer a client reads, which may itself be late on a busy machine. Whether
	// the answer was late is decided by how late the client was.
	lagAllowance = 2 * time.Second
)

// run sends requests until the run has ended.
func (c *soakClient) run() {
	defer c.disconnect()
	for {
		select {
		case <-c.ended:
			return
		case <-time.After(time.Duration(c.random.ExpFloat64() * float64(c.pause))):
		}
		c.sendOne()
	}
}

// sendOne sends a request, once more on a new connection if its connection was closed under it unread.
func (c *soakClient) sendOne() {
	for {
		reused := c.conn != nil
		if err := c.connect(); err != nil {
			time.Sleep(refusedPause) // the node is being restarted
			return
		}
		responded, err := c.exchange()
		if err == nil {
			c.node.records.countAnswered()
			return
		}
		c.disconnect()
		switch {
		case errors.Is(err, errLeft):
			return
		case reused && !responded && !testkit.IsTimeout(err):
			continue // crossed the close of an idle connection
		case errors.Is(err, syscall.ECONNRESET) && !responded && c.incarnation.wasTerminated():
			c.node.records.countUnread() // in the accept queue of a node that ends
		default:
			c.node.records.violate("lost", c.incarnation, "request %s-%d, reused connection %v, part of a response %v: %v",
				c.name, c.sent, reused, responded, err)
		}
		return
	}
}

// What ends a request or a connection other than a failure.
var (
	errLeft      = errors.New("the client disconnected")
	errRestarted = errors.New("the node was restarted")
)

// connect opens a connection unless there is one.
func (c *soakClient) connect() error {
	if c.conn != nil {
		return nil
	}
	current := c.node.incarnation()
	conn, err := net.Dial("tcp", c.node.addr)
	if err != nil {
		return err
	}
	if c.node.incarnation() != current { // the node was restarted meanwhile: it may lead to either process
		_ = conn.Close() // nothing was sent on it
		return errRestarted
	}
	c.incarnation, c.conn, c.reader = current, conn, bufio.NewReader(conn)
	return nil
}

func (c *soakClient) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close() // nothing more is expected of it
		c.conn = nil
	}
}

// request makes the next request.
func (c *soakClient) request() *soakRequest {
	c.sent++
	class := c.classes[c.random.IntN(len(c.classes))]
	timeout := class.deadline
	if c.random.Float64() < shortShare {
		timeout = timeout/4 + time.Duration(c.random.Float64()*float64(timeout)/2)
	}
	return &soakRequest{
		id: fmt.Sprintf("%s-%d", c.name, c.sent), incarnation: c.incarnation, class: class,
		timeout: timeout.Truncate(time.Millisecond),
	}
}

// exchange sends a request and reads its response. On an error it reports whether a part of the response
// had come.
func (c *soakClient) exchange() (responded bool, err error) {
	request := c.request()
	leaves := c.random.Float64() < leaveShare
	patience := request.timeout + answerGrace + lagAllowance
	if leaves {
		patience = time.Duration(c.random.Float64() * float64(request.timeout))
	}
	c.node.records.sent(request)
	if err := c.conn.SetDeadline(time.Now().Add(patience)); err != nil {
		return false, err
	}
	_, err = io.WriteString(c.conn, request.text())
	switch {
	case leaves && testkit.IsTimeout(err):
		return false, errLeft // before it has sent anything
	case err != nil:
		return false, fmt.Errorf("write: %w", err)
	}
	responded, keep, err := c.readResponse()
	if leaves && testkit.IsTimeout(err) {
		c.node.records.left(request)
		return responded, errLeft
	}
	if late := time.Since(request.sentAt) - request.timeout - answerGrace; late > c.lag.around(time.Now()) {
		c.node.records.violate("late", c.incarnation, "request %s: %v after the grace of its answer", request.id, late)
	}
	if err == nil && (!c.keepAlive || !keep) {
		c.disconnect()
	}
	return responded, err
}

// text returns the request as it is sent.
func (r *soakRequest) text() string {
	method, more := "POST", "Content-Length: 0\r\n"
	switch r.class.effect {
	case effectPure:
		method, more = "GET", ""
	case effectToken:
		more += "Idempotency-Key: k-" + r.id + "\r\n"
	}
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Timeout-Ms: %d\r\n%s\r\n",
		method, r.class.name, r.id, r.timeout.Milliseconds(), more)
}

// readResponse reads a response and reports whether its connection stays open.
func (c *soakClient) readResponse() (responded, keep bool, err error) {
	if _, err = c.reader.Peek(1); err != nil {
		return false, false, fmt.Errorf("no response: %w", err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return true, false, fmt.Errorf("response: %w", err)
	}
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return true, false, fmt.Errorf("response body: %w", err)
	}
	return true, !response.Close, nil
}
