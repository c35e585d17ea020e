package upstream

import (
	"bufio"
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

// exchange is one request and its response on a connection. It holds all that an attempt needs beside the connection,
// so that a connection that becomes idle keeps nothing of its last request alive.
type exchange struct {
	conn              *connection
	reader            *bufio.Reader // reads from exchange.Read
	responseBytesLeft int           // number of bytes that the current response may still take
	memory            *responseMemory
	head              httphead.Scanner
	readErr           error // error of the last read from the socket, or nil
}

// exchange writes a request and reads its response. A server cannot execute the request before the
// last byte of the request is written, but may have executed it at any time after that. The
// connection is reusable afterwards only if the response is complete, no further bytes were read, and the server's system
// has received the whole request: a server may respond before.
func (p *Pool) exchange(conn *connection, request *encodedRequest) Result {
	conn.reusable, conn.unfinished = false, true
	reader := p.readers.Get().(*bufio.Reader)
	current := &exchange{
		conn: conn, reader: reader, responseBytesLeft: maxResponseBytes, memory: request.memory,
	}
	reader.Reset(current)
	result := current.run(request)
	reader.Reset(nil) // the pooled reader must not keep the exchange in memory
	p.readers.Put(reader)
	return result
}

// run writes the request and reads its response.
func (x *exchange) run(request *encodedRequest) Result {
	if err := x.write(request); err != nil {
		return Result{Status: policy.StatusConnectFailed} // the last byte was not written
	}
	response, err := x.readFinalHead(request)
	if err != nil {
		return Result{Status: x.failureStatus(err)}
	}
	body, err := x.readBody(response)
	if err != nil {
		return Result{Status: x.failureStatus(err)}
	}
	x.conn.setReadDeadline(time.Time{})
	// Bytes after the response could be mistaken for the next response.
	x.conn.surplus = x.reader.Buffered() > 0
	// A request that was written at once has been delivered if there is a response to it.
	x.conn.unfinished = len(request.body) > 0 && x.conn.undelivered()
	x.conn.reusable = !response.Close && !x.conn.surplus && !x.conn.unfinished
	return classify(response, body)
}

// write writes a request.
func (x *exchange) write(request *encodedRequest) error {
	if _, err := x.conn.Write(request.message); err != nil {
		return err
	}
	if len(request.body) == 0 {
		return nil
	}
	_, err := x.conn.Write(request.body)
	return err
}

// Read implements io.Reader for the response. It returns errResponseTooLarge when the current response has reached its
// maximum size, and another error if its head has too many lines or needs memory that is not free.
func (x *exchange) Read(buffer []byte) (int, error) {
	if x.responseBytesLeft <= 0 {
		return 0, errResponseTooLarge
	}
	limit := min(len(buffer), x.responseBytesLeft)
	if !x.head.Complete() {
		limit = min(limit, httphead.MaxReadSize)
	}
	n, err := x.conn.Read(buffer[:limit])
	x.responseBytesLeft -= n
	x.readErr = err
	if headErr := x.scanHead(buffer[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// scanHead accounts for received bytes of a response. It returns an error if its head has too many lines, or needs
// memory that is not free.
func (x *exchange) scanHead(received []byte) error {
	x.head.Scan(received)
	if x.head.TooManyLines() {
		return errTooManyHeadLines
	}
	return x.memory.ensure(x.head.Memory())
}

// readFinalHead skips interim responses and returns the final response, of which only the head
// has been read.
func (x *exchange) readFinalHead(request *encodedRequest) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		response, err := x.readHead(request)
		switch {
		case err != nil:
			return nil, err
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errSwitchingProtocols
		case response.StatusCode/100 != 1:
			x.head.SetComplete()
			return response, nil
		}
	}
	return nil, errTooManyInterimResponses
}

// readHead reads the head of an interim or final response. It sets no time limit for the first
// byte. The rest of the response must arrive within responseReadTimeout after the first byte:
// otherwise a server that stops in the middle of a response would use up the time for a retry.
func (x *exchange) readHead(request *encodedRequest) (*http.Response, error) {
	x.conn.setReadDeadline(time.Time{})
	x.head = httphead.Scanner{}
	if _, err := x.reader.Peek(1); err != nil {
		return nil, err
	}
	x.conn.setReadDeadline(time.Now().Add(request.responseReadTimeout))
	prefix, err := x.reader.Peek(len(responsePrefix))
	if err != nil {
		return nil, err
	}
	if string(prefix) != responsePrefix {
		return nil, errNotHTTP // the parser would wait for the end of the line
	}
	return http.ReadResponse(x.reader, request.http)
}

// readBody reads the body of a response. A body without a length is complete when the server closes
// the connection (RFC 9112, section 6.3), and incomplete after a reset. readBody does not close
// response.Body: Close would read the body to its end, whatever its length. A connection whose
// response was not read to the end is closed instead.
func (x *exchange) readBody(response *http.Response) ([]byte, error) {
	size := int(response.ContentLength)
	switch {
	case response.ContentLength > maxBodyBytes:
		return nil, errBodyTooLarge
	case size < 0:
		return x.readBodyOfUnknownSize(response.Body)
	}
	if err := x.memory.ensure(x.head.Memory() + size); err != nil {
		return nil, err
	}
	body := make([]byte, size)
	_, err := io.ReadFull(response.Body, body)
	return body, err
}

// readBodyOfUnknownSize reads a body to its end. It reserves memory for a body of maximum size if the body turns out to
// be larger than responseAllowance.
func (x *exchange) readBodyOfUnknownSize(body io.Reader) ([]byte, error) {
	start, err := io.ReadAll(io.LimitReader(body, responseAllowance+1))
	if err != nil || len(start) <= responseAllowance {
		return start, err
	}
	if err := x.memory.ensure(x.head.Memory() + maxBodyBytes); err != nil {
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
func (x *exchange) failureStatus(err error) policy.Status {
	switch {
	case errors.Is(err, errBodyTooLarge),
		errors.Is(err, errTooManyInterimResponses),
		errors.Is(err, errSwitchingProtocols):
		return policy.StatusServerError
	case x.readErr == nil, errors.Is(x.readErr, os.ErrDeadlineExceeded):
		return policy.StatusServerError
	}
	return policy.StatusReset
}
