package node

import "net/http"

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 64 << 10

// checkFraming rejects requests whose end is ambiguous, to prevent request smuggling: if this node and another
// program on the request path disagree about the end, one of them may treat a part of the body as another request.
// If a request has both Transfer-Encoding and Content-Length, net/http ignores Content-Length in HTTP/1.1 and
// Transfer-Encoding in HTTP/1.0. So the end is unambiguous only in HTTP/1.1 without a transfer coding.
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
