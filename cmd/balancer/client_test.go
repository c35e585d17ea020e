package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"calicohinge/internal/testkit"
)

// classDeadline is the deadline of the class in settings.
const classDeadline = 8 * time.Second

// writeRequest writes a request of the class in settings.
func writeRequest(w io.Writer, id string, timeout time.Duration) error {
	_, err := fmt.Fprintf(w, "POST /pay HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Timeout-Ms: %d\r\n"+
		"Content-Length: 0\r\n\r\n", id, timeout.Milliseconds())
	return err
}

// post makes a request and returns the body of its response, or the error.
func post(addr string) string {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }() // the response has been read
	body, err := postOn(conn, "a1")
	if err != nil {
		return err.Error()
	}
	return body
}

// postOn makes a request on a connection and returns the body of its response.
func postOn(conn net.Conn, id string) (string, error) {
	const margin = 2 * time.Second // of the response after the deadline
	if err := conn.SetDeadline(time.Now().Add(classDeadline + margin)); err != nil {
		return "", err
	}
	if err := writeRequest(conn, id, classDeadline); err != nil {
		return "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

const (
	// unusedConnsClosedFrom is the time after SIGTERM from which on a process closes connections on which no
	// request was sent: the end of its grace period.
	unusedConnsClosedFrom = shutdownClassDeadline + 450*time.Millisecond
	// newConnGrace is the shortest time for which the process then leaves a new connection open.
	newConnGrace = 50 * time.Millisecond
)

// loadClient sends requests one after another. A request whose connection was established has to get a
// complete response, unless it crossed the close of its connection. It can do so in two cases, and gets no
// byte of a response then:
//   - the connection had carried a request before;
//   - the process closes unused connections by then, and the connection had been unused for more than
//     newConnGrace, as the client itself was paused.
type loadClient struct {
	addr      string
	name      string
	timeout   time.Duration // of each request
	keepAlive bool          // the client reuses its connection for as long as it stays open

	conn        net.Conn
	reader      *bufio.Reader
	sent        int
	connectedAt time.Time     // when the connection was established
	unusedFor   time.Duration // from connected until the last request on the connection was written
}

// loadResult is how the requests of clients ended.
type loadResult struct {
	responses int
	lost      []*lostRequestError
	// resetInQueue counts the requests whose connections were established between the process's last accept
	// and its close of the listener. They got a reset, and their clients were refused next.
	resetInQueue int
	// unusedConnsClosed counts the first requests on a connection that crossed its close.
	unusedConnsClosed int
}

// lostRequestError is a request without a complete response.
type lostRequestError struct {
	client          string
	number          int           // among the client's requests
	sentAfterSignal time.Duration // after SIGTERM
	connReused      bool          // its connection carried a request before
	responseBegan   bool          // a part of a response came
	err             error
}

func (e *lostRequestError) Error() string {
	return fmt.Sprintf("%s, request %d, sent %v after SIGTERM, reused %v: %v",
		e.client, e.number, e.sentAfterSignal.Round(time.Millisecond), e.connReused, e.err)
}

func (e *lostRequestError) Unwrap() error { return e.err }

// sendUntilRefused sends requests until the process accepts no more connections.
func (c *loadClient) sendUntilRefused(sinceSignal func() time.Duration) loadResult {
	var result loadResult
	for {
		connReused := c.conn != nil
		if err := c.connect(); err != nil {
			result.classifyLastReset()
			return result
		}
		c.sent++
		sentAfterSignal := sinceSignal()
		responseBegan, err := c.exchange()
		if err == nil {
			result.responses++
			continue
		}
		idleConnClosed := connReused && !responseBegan
		unusedConnClosed := !responseBegan && c.unusedFor > newConnGrace && sinceSignal() >= unusedConnsClosedFrom
		switch {
		case idleConnClosed: // the next request uses a new connection
		case unusedConnClosed:
			result.unusedConnsClosed++
		default:
			result.lost = append(result.lost, &lostRequestError{
				client: c.name, number: c.sent, sentAfterSignal: sentAfterSignal, connReused: connReused,
				responseBegan: responseBegan, err: err,
			})
		}
	}
}

// sendUntilStopped sends requests until ended is set. Each has to get a response.
func (c *loadClient) sendUntilStopped(t *testing.T, stopped *atomic.Bool) {
	t.Helper()
	for !stopped.Load() {
		if err := c.connect(); err != nil {
			t.Error(err)
			return
		}
		c.sent++
		if _, err := c.exchange(); err != nil {
			t.Error(err)
		}
	}
}

// connect opens a connection unless the client has one. An error means that the process does not listen
// any more.
func (c *loadClient) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.Dial("tcp", c.addr)
	if err != nil {
		return err
	}
	c.conn, c.reader, c.connectedAt = conn, bufio.NewReader(conn), time.Now()
	return c.conn.SetDeadline(time.Now().Add(testkit.WaitTimeout))
}

// exchange sends a request and reads its response. It returns whether a byte of the response came. It closes
// the connection unless that is kept for another request.
func (c *loadClient) exchange() (bool, error) {
	keep := false
	defer func() {
		if !keep {
			_ = c.conn.Close() // nothing more is read from it
			c.conn = nil
		}
	}()
	err := writeRequest(c.conn, fmt.Sprintf("%s-%d", c.name, c.sent), c.timeout)
	c.unusedFor = time.Since(c.connectedAt)
	if err != nil {
		return false, fmt.Errorf("write: %w", err)
	}
	if _, err := c.reader.Peek(1); err != nil {
		return false, fmt.Errorf("no response: %w", err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return true, fmt.Errorf("response: %w", err)
	}
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return true, fmt.Errorf("response body: %w", err)
	}
	keep = c.keepAlive && !response.Close
	return true, nil
}

// classifyLastReset moves the last lost request to resetInQueue if its connection was reset in the accept queue.
// The client was refused next.
func (r *loadResult) classifyLastReset() {
	if len(r.lost) == 0 {
		return
	}
	last := r.lost[len(r.lost)-1]
	if !last.connReused && !last.responseBegan && errors.Is(last, syscall.ECONNRESET) {
		r.lost = r.lost[:len(r.lost)-1]
		r.resetInQueue++
	}
}

// add adds the result of another client.
func (r *loadResult) add(other loadResult) {
	r.responses += other.responses
	r.lost = append(r.lost, other.lost...)
	r.resetInQueue += other.resetInQueue
	r.unusedConnsClosed += other.unusedConnsClosed
}
