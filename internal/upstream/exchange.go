package upstream

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"calicohinge/internal/httphead"
	"calicohinge/internal/httpheader"
	"calicohinge/policy"
)

const (
	// responsePrefix is the start of every response that the parser accepts.
	responsePrefix = "HTTP/1."
	// notProcessedHeader has the value "1" if the server guarantees that it has not executed the
	// request.
	notProcessedHeader = "X-Not-Processed"
)

// exchange writes a request and reads its response. A server cannot execute the request before the
// last byte of the request is written, but may have executed it at any time after that. The
// connection is reusable afterwards only if the response is complete and no further bytes were read.
func (c *connection) exchange(request *encodedRequest) Result {
	c.reusable = false
	if err := c.write(request); err != nil {
		return Result{Status: policy.StatusConnectFailed} // the last byte was not written
	}
	c.responseBytesLeft = maxResponseBytes
	c.responseMemory = request.memory
	response, err := c.readFinalHead(request)
	if err != nil {
		return Result{Status: c.failureStatus(err)}
	}
	body, err := c.readBody(response)
	if err != nil {
		return Result{Status: c.failureStatus(err)}
	}
	c.setReadDeadline(time.Time{})
	// Bytes after the response could be mistaken for the next response.
	c.surplus = c.reader.Buffered() > 0
	c.reusable = !response.Close && !c.surplus
	return classify(response, body)
}

// write writes a request.
func (c *connection) write(request *encodedRequest) error {
	if _, err := c.Write(request.message); err != nil {
		return err
	}
	if len(request.body) == 0 {
		return nil
	}
	_, err := c.Write(request.body)
	return err
}

// readFinalHead skips interim responses and returns the final response, of which only the head
// has been read.
func (c *connection) readFinalHead(request *encodedRequest) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		response, err := c.readHead(request)
		switch {
		case err != nil:
			return nil, err
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errSwitchingProtocols
		case response.StatusCode/100 != 1:
			c.head.SetComplete()
			return response, nil
		}
	}
	return nil, errTooManyInterimResponses
}

// readHead reads the head of an interim or final response. It sets no time limit for the first
// byte. The rest of the response must arrive within responseReadTimeout after the first byte:
// otherwise a server that stops in the middle of a response would use up the time for a retry.
func (c *connection) readHead(request *encodedRequest) (*http.Response, error) {
	c.setReadDeadline(time.Time{})
	c.head = httphead.Scanner{}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	c.setReadDeadline(time.Now().Add(request.responseReadTimeout))
	prefix, err := c.reader.Peek(len(responsePrefix))
	if err != nil {
		return nil, err
	}
	if string(prefix) != responsePrefix {
		return nil, errNotHTTP // the parser would wait for the end of the line
	}
	return http.ReadResponse(c.reader, request.http)
}

// readBody reads the body of a response. A body without a length is complete when the server closes
// the connection (RFC 9112, section 6.3), and incomplete after a reset. readBody does not close
// response.Body: Close would read the body to its end, whatever its length. A connection whose
// response was not read to the end is closed instead.
func (c *connection) readBody(response *http.Response) ([]byte, error) {
	size := int(response.ContentLength)
	switch {
	case response.ContentLength > maxBodyBytes:
		return nil, errBodyTooLarge
	case size < 0:
		return c.readBodyOfUnknownSize(response.Body)
	}
	if err := c.responseMemory.ensure(c.head.Memory() + size); err != nil {
		return nil, err
	}
	body := make([]byte, size)
	_, err := io.ReadFull(response.Body, body)
	return body, err
}

// readBodyOfUnknownSize reads a body to its end. It reserves memory for a body of maximum size if the body turns out to
// be larger than responseAllowance.
func (c *connection) readBodyOfUnknownSize(body io.Reader) ([]byte, error) {
	start, err := io.ReadAll(io.LimitReader(body, responseAllowance+1))
	if err != nil || len(start) <= responseAllowance {
		return start, err
	}
	if err := c.responseMemory.ensure(c.head.Memory() + maxBodyBytes); err != nil {
		return nil, err
	}
	// bytes.Buffer.ReadFrom needs bytes.MinRead bytes of room, also at the end.
	whole := bytes.NewBuffer(make([]byte, 0, maxBodyBytes+1+bytes.MinRead))
	_, _ = whole.Write(start) // never fails
	_, err = whole.ReadFrom(io.LimitReader(body, int64(maxBodyBytes+1-len(start))))
	switch {
	case err != nil:
		return nil, err
	case whole.Len() > maxBodyBytes:
		return nil, errBodyTooLarge
	}
	return whole.Bytes(), nil
}

// classify returns the result of an attempt with a complete response.
func classify(response *http.Response, body []byte) Result {
	switch response.StatusCode {
	case http.StatusOK:
		return Result{Status: policy.StatusOK, Header: httpheader.EndToEnd(response.Header), Body: body}
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if response.Header.Get(notProcessedHeader) == "1" {
			return Result{Status: policy.StatusRejected}
		}
	}
	return Result{Status: policy.StatusServerError}
}

// failureStatus returns the status of an attempt whose response could not be read because of err. It
// is StatusReset if the connection ended, and StatusServerError if the response is invalid or too
// large, or did not end within its read timeout.
func (c *connection) failureStatus(err error) policy.Status {
	switch {
	case errors.Is(err, errBodyTooLarge),
		errors.Is(err, errTooManyInterimResponses),
		errors.Is(err, errSwitchingProtocols):
		return policy.StatusServerError
	case c.readErr == nil, errors.Is(c.readErr, os.ErrDeadlineExceeded):
		return policy.StatusServerError
	}
	return policy.StatusReset
}
