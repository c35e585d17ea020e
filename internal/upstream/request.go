package upstream

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// timeoutHeader carries the milliseconds for which the client still waits.
const timeoutHeader = "X-Timeout-Ms"

// Request is the part of a client's request that is forwarded to a server.
type Request struct {
	Method string
	URL    *url.URL
	Host   string
	Header http.Header // end-to-end fields
	Body   []byte
	// ResponseReadTimeout bounds the time from a response's first byte to its last.
	ResponseReadTimeout time.Duration
}

// encodedRequest is a request in the form in which a connection writes it.
type encodedRequest struct {
	http                *http.Request // the request that its response is parsed for
	message             []byte
	responseReadTimeout time.Duration
}

// encode serializes the request for one attempt; see httpRequest for the timeout.
func (r *Request) encode(timeout time.Duration) (*encodedRequest, error) {
	request := r.httpRequest(timeout)
	var message bytes.Buffer
	if err := request.Write(&message); err != nil {
		return nil, err
	}
	return &encodedRequest{
		http:                request,
		message:             message.Bytes(),
		responseReadTimeout: r.ResponseReadTimeout,
	}, nil
}

// httpRequest returns the request to a server. It carries the timeout in whole
// milliseconds, at least one.
func (r *Request) httpRequest(timeout time.Duration) *http.Request {
	request := &http.Request{
		Method:        r.Method,
		URL:           r.URL,
		Host:          r.Host,
		Header:        r.Header.Clone(),
		Body:          http.NoBody,
		ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	if request.Header["User-Agent"] == nil {
		request.Header.Set("User-Agent", "") // http.Request.Write adds its own otherwise
	}
	request.Header.Set(timeoutHeader, strconv.FormatInt(max(1, timeout.Milliseconds()), 10))
	return request
}
