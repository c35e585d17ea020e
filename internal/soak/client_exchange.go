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
	disconnectShare       = 0.05 // of the requests whose clients disconnect early
	shortenedTimeoutShare = 0.2  // of the requests whose clients wait for less than the class's deadline
	// responseGrace is how long after its deadline a response may still come.
	responseGrace = 500 * time.Millisecond
	// lagAllowance is how much longer a client reads than a response may take: on a busy machine the client
	// may read late itself. checkResponseTime decides whether the response was late.
	lagAllowance = 2 * time.Second
)

func (c *client) requestID() string { return fmt.Sprintf("%s-%d", c.name, c.requestCount) }

// nextRequest makes the next request.
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

// exchange sends a request and reads its response. It returns whether a part of the response came.
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
			err = errDisconnected // before it has sent the request
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

// write sends a request. The timeout is that of the whole exchange.
func (c *client) write(request *history.Request, timeout time.Duration) error {
	if err := c.conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := io.WriteString(c.conn, requestText(request)); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// checkResponseTime checks that the response to a request, or the close of its connection, came in time. It
// allows for the scheduling lag of this process.
func (c *client) checkResponseTime(request *history.Request) {
	late := time.Since(request.SentAt) - request.Timeout - responseGrace
	if late > c.history.Lag.MaxNear(time.Now()) {
		c.history.RecordViolationf("late", c.incarnation, "request %s: %v after the grace of its response", request.ID, late)
	}
}

// requestText returns a request as it is sent.
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

// readResult is how far the reading of a response got.
type readResult struct {
	began     bool // a part of the response came
	keepAlive bool // the response is complete and its connection is used again
}

// readResponse reads a response.
func (c *client) readResponse() (readResult, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return readResult{}, fmt.Errorf("no response: %w", err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return readResult{began: true}, fmt.Errorf("response: %w", err)
	}
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return readResult{began: true}, fmt.Errorf("response body: %w", err)
	}
	return readResult{began: true, keepAlive: c.keepAlive && !response.Close}, nil
}
