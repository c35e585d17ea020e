package upstream

import (
	"bytes"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"calicohinge/internal/memorybudget"
)

// timeoutHeader is the header field that holds the time for which the client will still wait, in milliseconds.
const timeoutHeader = "X-Timeout-Ms"

// Request is the part of a client's request that is forwarded to a server.
type Request struct {
	Method string
	URL    *url.URL
	Host   string
	Header http.Header // only end-to-end fields
	Body   []byte
	// ResponseReadTimeout is the maximum time from the first byte of a response to its last.
	ResponseReadTimeout time.Duration
	// Memory holds the reservations for the responses; it may be nil.
	Memory *memorybudget.Lease
}

// encodedRequest is a serialized request.
type encodedRequest struct {
	http                *http.Request // the request, which the response parser needs
	message             []byte        // the bytes to write first: the head, and the body if it is small
	body                []byte        // the bytes to write after message: the body if it is not small
	responseReadTimeout time.Duration
	memory              *responseMemory
}

// encode serializes the request for one attempt, with a header field that tells the server the timeout.
func (r *Request) encode(timeout time.Duration) (*encodedRequest, error) {
	request := r.httpRequest(timeout)
	var writer headWriter
	if len(r.Body) > 0 {
		request.Body = &announcedBody{reader: bytes.NewReader(r.Body), started: &writer.complete}
	}
	if err := request.Write(&writer); err != nil {
		return nil, err
	}
	encoded := &encodedRequest{http: request, responseReadTimeout: r.ResponseReadTimeout}
	if len(r.Body) <= maxBodyWithHead {
		_, _ = writer.head.Write(r.Body) // never fails
	} else {
		encoded.body = r.Body
	}
	encoded.message = writer.head.Bytes()
	return encoded, nil
}

// httpRequest returns the request to a server. Its timeout header field holds the timeout in whole
// milliseconds and is at least 1.
func (r *Request) httpRequest(timeout time.Duration) *http.Request {
	request := &http.Request{
		Method:        r.Method,
		URL:           r.URL,
		Host:          r.Host,
		Header:        r.Header.Clone(),
		Body:          http.NoBody,
		ContentLength: int64(len(r.Body)),
	}
	if request.Header["User-Agent"] == nil {
		request.Header.Set("User-Agent", "") // otherwise http.Request.Write adds its default value
	}
	request.Header.Set(timeoutHeader, strconv.FormatInt(max(1, timeout.Milliseconds()), 10))
	return request
}
