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

// classDeadline is the deadline of the class in baseSettings.
const classDeadline = 8 * time.Second

// writeRequest writes a request of the class in baseSettings with the given X-Request-ID and X-Timeout-Ms.
func writeRequest(w io.Writer, id string, timeout time.Duration) error {
	_, err := fmt.Fprintf(w, "POST /pay HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Timeout-Ms: %d\r\n"+
		"Content-Length: 0\r\n\r\n", id, timeout.Milliseconds())
	return err
}

// post sends a request on a new connection and returns the body of its response, or the text of the error.
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

// postOn sends a request on a connection and returns the body of its response.
func postOn(conn net.Conn, id string) (string, error) {
	const margin = 2 * time.Second // how long after the request's deadline the response may arrive
	if err := conn.SetDeadline(time.Now().Add(classDeadline + margin)); err != nil {
		return "", err
	}
	if err := writeRequest(conn, id, classDeadline); err != nil {
		return "", err
	}
	return readBody(conn)
}

// readBody reads a response and returns its body.
func readBody(conn net.Conn) (string, error) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

const (
	// unusedConnsClosedFrom is how long after SIGTERM a process starts to close connections that have not carried
	// a request. It is the end of the grace period.
	unusedConnsClosedFrom = shutdownClassDeadline + 450*time.Millisecond
	// newConnGrace is the minimum time for which a process keeps a new connection open, even after the grace period.
	newConnGrace = 50 * time.Millisecond
)

// loadClient sends requests one after another. Each request on an established connection must get a complete response.
// The exception is a request that is sent while the process closes the connection. In two cases such a request may get
// no response, but never an incomplete response:
//   - The connection has carried an earlier request, so that the process may close it as idle.
//   - The process is closing unused connections, and the client was paused, so that it sent its first request
//     more than newConnGrace after it connected.
type loadClient struct {
	addr      string
	name      string
	timeout   time.Duration // X-Timeout-Ms of each request
	keepAlive bool          // reuse the connection for as long as it stays open

	conn        net.Conn // nil: the next request needs a new connection
	reader      *bufio.Reader
	sent        int           // number of requests sent
	connectedAt time.Time     // time at which conn was established
	unusedFor   time.Duration // time from connectedAt until the latest request was written
}

// loadResult counts the requests of one or more clients by their results.
type loadResult struct {
	responses int
	lost      []*lostRequestError
	// resetInQueue counts the connections that were established after the process's last accept and before it
	// closed the listener. The system resets them, and the next connection of each of these clients is refused.
	resetInQueue int
	// unusedConnsClosed counts the connections that the process closed while the client sent the first request.
	unusedConnsClosed int
}

// lostRequestError reports a request that had to get a complete response and did not get it.
type lostRequestError struct {
	client          string
	number          int           // 1 is the client's first request
	sentAfterSignal time.Duration // time from SIGTERM until the request was sent; negative if sent before SIGTERM
	connReused      bool          // the connection had carried an earlier request
	responseBegan   bool          // at least one byte of the response arrived
	err             error
}

func (e *lostRequestError) Error() string {
	return fmt.Sprintf("request %d of client %s (sent %v after SIGTERM, connection reused: %v): %v, want a response",
		e.number, e.client, e.sentAfterSignal.Round(time.Millisecond), e.connReused, e.err)
}

func (e *lostRequestError) Unwrap() error { return e.err }

// sendUntilRefused sends requests until the process refuses connections. sinceSignal returns the time since SIGTERM, or
// a negative time before SIGTERM.
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
		case idleConnClosed: // not counted; the next request uses a new connection
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

// sendUntilStopped sends requests until stopped is set. It reports a test error for each request without a response.
func (c *loadClient) sendUntilStopped(t *testing.T, stopped *atomic.Bool) {
	t.Helper()
	for !stopped.Load() {
		if err := c.connect(); err != nil {
			t.Errorf("client %s cannot connect: %v", c.name, err)
			return
		}
		c.sent++
		if _, err := c.exchange(); err != nil {
			t.Errorf("request %d of client %s: %v, want a response", c.sent, c.name, err)
		}
	}
}

// connect opens a connection unless the client has one. It returns an error if the process no longer listens.
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

// exchange sends a request and reads its response. It reports whether a byte of the response arrived. It closes the
// connection unless the next request can reuse it.
func (c *loadClient) exchange() (bool, error) {
	keep := false
	defer func() {
		if !keep {
			_ = c.conn.Close() // no more data is expected
			c.conn = nil
		}
	}()
	err := writeRequest(c.conn, fmt.Sprintf("%s-%d", c.name, c.sent), c.timeout)
	c.unusedFor = time.Since(c.connectedAt)
	if err != nil {
		return false, fmt.Errorf("write the request: %w", err)
	}
	if _, err := c.reader.Peek(1); err != nil {
		return false, fmt.Errorf("wait for a response: %w", err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return true, fmt.Errorf("read the response: %w", err)
	}
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return true, fmt.Errorf("read the response body: %w", err)
	}
	keep = c.keepAlive && !response.Close
	return true, nil
}

// classifyLastReset counts the client's last lost request as resetInQueue if its connection was reset in the accept
// queue. It is called once the client's next connection has been refused.
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

// add adds another client's result.
func (r *loadResult) add(other loadResult) {
	r.responses += other.responses
	r.lost = append(r.lost, other.lost...)
	r.resetInQueue += other.resetInQueue
	r.unusedConnsClosed += other.unusedConnsClosed
}
