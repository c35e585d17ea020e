package soak

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"calicohinge/internal/soak/history"
	"calicohinge/internal/soak/scenario"
	"calicohinge/internal/testkit"
)

const (
	disconnectShare       = 0.05 // share of requests whose client may disconnect before the response
	shortenedTimeoutShare = 0.2  // share of requests with a timeout shorter than the deadline of the class
	// responseGrace is how long after the deadline of its request a response may still arrive.
	responseGrace = 500 * time.Millisecond
	// lagAllowance extends the timeout of an exchange beyond the time that a response may take, because the client
	// may read late on a busy machine. checkResponseTime decides whether the response was late.
	lagAllowance = 2 * time.Second
)

// requestID returns the ID of the current request.
func (c *client) requestID() string { return fmt.Sprintf("%s-%d", c.name, c.requestCount) }

// nextRequest returns the next request. Its class is random, and its timeout is at most the deadline of the class.
func (c *client) nextRequest() *history.Request {
	c.requestCount++
	class := c.classes[c.random.IntN(len(c.classes))]
	timeout := class.Deadline
	if c.random.Float64() < shortenedTimeoutShare {
		timeout = timeout/4 + time.Duration(c.random.Float64()*float64(timeout)/2)
	}
	return &history.Request{
		ID: c.requestID(), Incarnation: c.incarnation, Class: class, Timeout: timeout.Truncate(time.Millisecond),
	}
}

// exchange sends a request and reads its response. It reports whether any byte of the response arrived.
func (c *client) exchange() (bool, error) {
	request := c.nextRequest()
	disconnects := c.random.Float64() < disconnectShare
	readTimeout := request.Timeout + responseGrace + lagAllowance
	if disconnects {
		readTimeout = time.Duration(c.random.Float64() * float64(request.Timeout))
	}
	c.history.RecordRequest(request)
	if err := c.write(request, readTimeout); err != nil {
		if disconnects && testkit.IsTimeout(err) {
			err = errDisconnected // the client disconnected before it had sent the whole request
		}
		return false, err
	}
	result, err := c.readResponse()
	if disconnects && testkit.IsTimeout(err) {
		c.history.RecordDisconnect(request)
		return result.began, errDisconnected
	}
	c.checkResponseTime(request)
	if err == nil && !result.keepAlive {
		c.disconnect()
	}
	return result.began, err
}

// write sends a request. The timeout bounds the whole exchange: writing the request and reading the response.
func (c *client) write(request *history.Request, timeout time.Duration) error {
	if err := c.conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := io.WriteString(c.conn, requestText(request)); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// checkResponseTime checks that a response, or the close of the connection, arrives within the timeout of the
// request plus responseGrace. It also allows for the scheduling lag of the test process.
func (c *client) checkResponseTime(request *history.Request) {
	late := time.Since(request.SentAt) - request.Timeout - responseGrace
	if late > c.history.Lag.MaxNear(time.Now()) {
		c.history.RecordViolationf("late", c.incarnation,
			"response to request %s, or the close of its connection, came %v late, want it within %v after the request",
			request.ID, late, request.Timeout+responseGrace)
	}
}

// requestText returns the bytes of a request.
func requestText(r *history.Request) string {
	method, more := "POST", "Content-Length: 0\r\n"
	switch r.Class.Effect {
	case scenario.EffectPure:
		method, more = "GET", ""
	case scenario.EffectToken:
		more += "Idempotency-Key: k-" + r.ID + "\r\n"
	case scenario.EffectSideEffect:
	}
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Timeout-Ms: %d\r\n%s\r\n",
		method, r.Class.Name, r.ID, r.Timeout.Milliseconds(), more)
}

// readResult is the progress of reading a response.
type readResult struct {
	began     bool // at least one byte of the response arrived
	keepAlive bool // the response is complete and the connection can be reused
}

// readResponse reads a response to its end and discards the body.
func (c *client) readResponse() (readResult, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return readResult{}, fmt.Errorf("await response: %w", err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return readResult{began: true}, fmt.Errorf("read response: %w", err)
	}
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return readResult{began: true}, fmt.Errorf("read response body: %w", err)
	}
	return readResult{began: true, keepAlive: c.keepAlive && !response.Close}, nil
}
