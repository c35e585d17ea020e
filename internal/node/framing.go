package node

import "net/http"

const maxBody = 64 << 10 // bytes of a request's body

// checkFraming rejects messages whose end this node and another one on the request path might see
// in different places: what is a body to one is a request to the other (request smuggling).
// net/http keeps Transfer-Encoding and drops a Content-Length beside it, and the
// reverse in HTTP/1.0, so only the absence of both coding and old version is clear.
func checkFraming(r *http.Request) error {
	switch {
	case !r.ProtoAtLeast(1, 1):
		return &rejectionError{status: http.StatusHTTPVersionNotSupported, reason: "HTTP/1.1 is required"}
	case len(r.TransferEncoding) > 0:
		return &rejectionError{
			status: http.StatusLengthRequired, reason: "a Content-Length is required, with no transfer coding",
		}
	case r.ContentLength > maxBody:
		return &rejectionError{status: http.StatusRequestEntityTooLarge, reason: "the body is too large"}
	}
	return nil
}
