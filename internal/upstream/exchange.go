package upstream

import (
	"calicohinge/internal/httpheader"
	"calicohinge/policy"
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// exchange writes the request and reads the answer. The last byte of the
// request being written decides whether it may have run. It tells whether the
// connection is of use for a further request.
func (c *connection) exchange(req *http.Request, message []byte) (Result, bool) {
	if _, err := c.Conn.Write(message); err != nil {
		return Result{Status: policy.ConnectFailed}, false // its last byte was not written
	}
	c.responseBudget = maxResponse
	resp, err := c.readHead(req)
	for n := 0; err == nil && resp.StatusCode/100 == 1; n++ {
		if resp.StatusCode == http.StatusSwitchingProtocols || n == maxInterimResponses {
			return Result{Status: policy.ServerError}, false
		}
		resp, err = c.readHead(req)
	}
	if err != nil {
		return Result{Status: c.failureStatus()}, false
	}
	if resp.ContentLength > maxBody {
		return Result{Status: policy.ServerError}, false // not even looked at: it may have gigabytes
	}
	// The body is never closed, which would read it to its end; the connection is,
	// unless the body was read.
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	switch {
	case err != nil:
		return Result{Status: c.failureStatus()}, false
	case len(body) > maxBody:
		return Result{Status: policy.ServerError}, false
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		return Result{Status: policy.Reset}, false // ends with the connection: nothing tells that it is whole
	}
	c.SetReadDeadline(time.Time{})
	keep := !resp.Close && c.reader.Buffered() == 0 // more than the answer: out of step
	switch {
	case resp.StatusCode == http.StatusOK:
		return Result{Status: policy.OK, Header: httpheader.EndToEnd(resp.Header), Body: body}, keep
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Not-Processed") == "1":
		return Result{Status: policy.Rejected}, keep
	}
	return Result{Status: policy.ServerError}, keep
}

// readHead reads the head of an readHead. A server may think for as long as the
// request has; but once it speaks, the whole readHead has to follow soon. One that
// was spoilt leaves its connection open and says no more: to wait for the rest
// would take the time of a further attempt.
func (c *connection) readHead(req *http.Request) (*http.Response, error) {
	c.SetReadDeadline(time.Time{})
	_, err := c.reader.Peek(1)
	if err != nil {
		return nil, err
	}
	c.SetReadDeadline(time.Now().Add(c.responseReadTimeout))
	start, err := c.reader.Peek(len(responsePrefix))
	if err != nil {
		return nil, err
	}
	if string(start) != responsePrefix {
		return nil, errNotHTTP // which need not even end its line
	}
	return http.ReadResponse(c.reader, req)
}

// failureStatus tells a connection that ended from an answer that makes no sense.
func (c *connection) failureStatus() policy.Status {
	if c.readErr != nil && !errors.Is(c.readErr, os.ErrDeadlineExceeded) {
		return policy.Reset
	}
	return policy.ServerError
}
