package upstream

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"calicohinge/internal/httpheader"
	"calicohinge/policy"
)

const (
	// responsePrefix begins every response that can be parsed.
	responsePrefix = "HTTP/1."
	// notProcessedHeader is "1" where a server guarantees that it did not execute
	// the request.
	notProcessedHeader = "X-Not-Processed"
)

// exchange writes a request and reads its response. The server may have executed the request
// once its last byte is written, and not before. The connection is reusable afterwards only
// if the response is complete and nothing follows it.
func (c *connection) exchange(request *encodedRequest) Result {
	c.reusable = false
	if _, err := c.Write(request.message); err != nil {
		return Result{Status: policy.ConnectFailed} // its last byte was not written
	}
	c.responseBytesLeft = maxResponse
	response, err := c.readFinalHeader(request)
	if err != nil {
		return Result{Status: c.failureStatus(err)}
	}
	body, err := readBody(response)
	if err != nil {
		return Result{Status: c.failureStatus(err)}
	}
	c.setReadDeadline(time.Time{})
	// Bytes beyond the response could be taken for the next one.
	c.reusable = !response.Close && c.reader.Buffered() == 0
	return classify(response, body)
}

// readFinalHeader skips interim responses, reads the header of the final response and returns
// that response.
func (c *connection) readFinalHeader(request *encodedRequest) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		response, err := c.readHeader(request)
		switch {
		case err != nil:
			return nil, err
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errSwitchingProtocols
		case response.StatusCode/100 != 1:
			return response, nil
		}
	}
	return nil, errInterimResponses
}

// readHeader reads the header of one response. It waits for the first byte without a limit of its own.
// The rest of the response has to arrive within responseReadTimeout after that: otherwise a
// server that stops within a response would use up the time for a retry.
func (c *connection) readHeader(request *encodedRequest) (*http.Response, error) {
	c.setReadDeadline(time.Time{})
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	c.setReadDeadline(time.Now().Add(request.responseReadTimeout))
	prefix, err := c.reader.Peek(len(responsePrefix))
	if err != nil {
		return nil, err
	}
	if string(prefix) != responsePrefix {
		return nil, errNotHTTP // the parser would wait for the end of a line
	}
	return http.ReadResponse(c.reader, request.http)
}

// readBody reads the body of a response. A body without a length is complete when the server
// closes the connection (RFC 9112, 6.3); after a reset it is incomplete. readBody does not
// close response.Body, which would read a body of any length to its end: if the body is not
// read, the connection is closed.
func readBody(response *http.Response) ([]byte, error) {
	if response.ContentLength > maxBody {
		return nil, errBodyTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody+1))
	switch {
	case err != nil:
		return nil, err
	case len(body) > maxBody:
		return nil, errBodyTooLarge
	}
	return body, nil
}

// classify returns the result of an attempt that got a complete response.
func classify(response *http.Response, body []byte) Result {
	switch response.StatusCode {
	case http.StatusOK:
		return Result{Status: policy.OK, Header: httpheader.EndToEnd(response.Header), Body: body}
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if response.Header.Get(notProcessedHeader) == "1" {
			return Result{Status: policy.Rejected}
		}
	}
	return Result{Status: policy.ServerError}
}

// failureStatus returns the status of an attempt whose response failed with err: Reset if the
// connection ended, ServerError if the response is invalid, too large or stopped.
func (c *connection) failureStatus(err error) policy.Status {
	switch {
	case errors.Is(err, errBodyTooLarge),
		errors.Is(err, errInterimResponses),
		errors.Is(err, errSwitchingProtocols):
		return policy.ServerError
	case c.readErr == nil, errors.Is(c.readErr, os.ErrDeadlineExceeded):
		return policy.ServerError
	}
	return policy.Reset
}
