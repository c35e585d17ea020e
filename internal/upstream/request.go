package upstream

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Request is what of a client's request goes on to a server.
type Request struct {
	Method string
	URL    *url.URL
	Host   string
	Header http.Header // end-to-end fields
	Body   []byte
	// ResponseReadTimeout bounds the time from a response's first byte to its last.
	ResponseReadTimeout time.Duration
}

// httpRequest makes what goes to a server, with the time that is left for it.
func (o *Request) httpRequest(left time.Duration) *http.Request {
	req := &http.Request{
		Method: o.Method, URL: o.URL, Host: o.Host, Header: o.Header.Clone(),
		Body: http.NoBody, ContentLength: int64(len(o.Body)),
	}
	if len(o.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(o.Body))
	}
	if req.Header["User-Agent"] == nil {
		req.Header.Set("User-Agent", "") // else Request.Write puts one of its own
	}
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(max(1, left.Milliseconds()), 10))
	return req
}
