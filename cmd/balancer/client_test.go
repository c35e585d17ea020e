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

// A process under shutdown closes connections unused from the end of its grace period on, and leaves each new one
// open for newConnGrace at least.
const (
	unusedClosedFrom = shutdownDeadline + 450*time.Millisecond
	newConnGrace     = 50 * time.Millisecond
)

// loadClient sends requests one after another. A request has to get a complete response if its connection
// was established, unless that ends without a byte of a response, and had carried a request before or had
// been unused for more than newConnGrace, as the client's process was paused, and the process closes unused
// connections by then: the request crossed the close and is sent once more.
type loadClient struct {
	addr      string
	name      string
	timeout   time.Duration // of each request
	keepAlive bool          // the client reuses its connection for as long as it stays open

	conn      net.Conn
	reader    *bufio.Reader
	sent      int
	connected time.Time     // when the connection was established
	unused    time.Duration // from then until the last request on it was written
}

// loadResult is how the requests of clients ended.
type loadResult struct {
	responses int
	lost      []*lostRequestError
	// resetInQueue counts the last requests of clients which found the listener closed right after, and
	// which got nothing but a reset: their connections were established between the process's last accept
	// and its close of the listener.
	resetInQueue int
	// unusedClosed counts the requests that crossed the close of a connection without a request before.
	unusedClosed int
}

// lostRequestError is a request without a complete response.
type lostRequestError struct {
	client string
	number int           // among the client's requests
	sentAt time.Duration // after SIGTERM
	reused bool          // its connection carried a request before
	began  bool          // a part of a response came
	err    error
}

func (e *lostRequestError) Error() string {
	return fmt.Sprintf("%s, request %d, sent %v after SIGTERM, reused %v: %v",
		e.client, e.number, e.sentAt.Round(time.Millisecond), e.reused, e.err)
}

func (e *lostRequestError) Unwrap() error { return e.err }

// sendUntilRefused sends requests until the process accepts no more connections.
func (c *loadClient) sendUntilRefused(sinceSignal func() time.Duration) loadResult {
	var result loadResult
	for {
		reused := c.conn != nil
		if err := c.connect(); err != nil {
			result.separateQueued()
			return result
		}
		c.sent++
		sentAt := sinceSignal()
		began, err := c.exchange()
		switch {
		case err == nil:
			result.responses++
		case reused && !began:
			continue // on a new connection
		case !began && c.unused > newConnGrace && sinceSignal() >= unusedClosedFrom:
			result.unusedClosed++
		default:
			result.lost = append(result.lost, &lostRequestError{
				client: c.name, number: c.sent, sentAt: sentAt, reused: reused, began: began, err: err,
			})
		}
	}
}

// sendUntil sends requests until ended is set. Each has to get a response.
func (c *loadClient) sendUntil(t *testing.T, ended *atomic.Bool) {
	t.Helper()
	for !ended.Load() {
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
	c.conn, c.reader, c.connected = conn, bufio.NewReader(conn), time.Now()
	return c.conn.SetDeadline(time.Now().Add(testkit.WaitTimeout))
}

// exchange sends a request and reads its response. On an error it reports whether a byte of the response
// had come.
func (c *loadClient) exchange() (bool, error) {
	keep := false
	defer func() {
		if !keep {
			_ = c.conn.Close() // nothing is expected of it any more
			c.conn = nil
		}
	}()
	err := writeRequest(c.conn, fmt.Sprintf("%s-%d", c.name, c.sent), c.timeout)
	c.unused = time.Since(c.connected)
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

// separateQueued counts the last lost request of a client that was refused next under resetInQueue, if it
// is one of these.
func (r *loadResult) separateQueued() {
	if len(r.lost) == 0 {
		return
	}
	last := r.lost[len(r.lost)-1]
	if !last.reused && !last.began && errors.Is(last, syscall.ECONNRESET) {
		r.lost = r.lost[:len(r.lost)-1]
		r.resetInQueue++
	}
}

// add adds the result of another client.
func (r *loadResult) add(other loadResult) {
	r.responses += other.responses
	r.lost = append(r.lost, other.lost...)
	r.resetInQueue += other.resetInQueue
	r.unusedClosed += other.unusedClosed
}
