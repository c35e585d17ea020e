package node

import "net/http"

const maxBodyBytes = 64 << 10 // bytes of a request's body

// checkFraming rejects messages whose end this node and another program on the request path might see in
// different places: the body that one sees is a request to the other (request smuggling). If a message has both
// Transfer-Encoding and Content-Length, net/http drops one of them: Content-Length in HTTP/1.1, the other in
// HTTP/1.0. The end is therefore certain only in HTTP/1.1 without a transfer coding.
func checkFraming(r *http.Request) error {
	switch {
	case !r.ProtoAtLeast(1, 1):
		return &rejectionError{status: http.StatusHTTPVersionNotSupported, reason: "HTTP/1.1 is required"}
	case len(r.TransferEncoding) > 0:
		return &rejectionError{
			status: http.StatusLengthRequired, reason: "a Content-Length is required, with no transfer coding",
		}
	case r.ContentLength > maxBodyBytes:
		return &rejectionError{status: http.StatusRequestEntityTooLarge, reason: "the body is too large"}
	}
	return nil
}
