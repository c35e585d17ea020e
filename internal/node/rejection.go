package node

import (
	"errors"
	"fmt"
	"net/http"
)

// rejectionError is the reason why a request is not forwarded, with the HTTP status of the response.
type rejectionError struct {
	status int
	reason string // the response body
	allow  string // the method that the class permits; set with http.StatusMethodNotAllowed
}

func (e *rejectionError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.reason) }

func badRequest(reason string) *rejectionError {
	return &rejectionError{status: http.StatusBadRequest, reason: reason}
}

// writeRejection writes the response to a request that is not forwarded. An err that is not a *rejectionError stands
// for a body that could not be read. The connection is closed after the response if the request has a body, since
// the rest of the body is not read, or if its version is older than HTTP/1.1.
func writeRejection(w http.ResponseWriter, r *http.Request, err error) {
	rejection, ok := errors.AsType[*rejectionError](err)
	if !ok {
		rejection = badRequest("the body can't be read") // from readBody
	}
	if rejection.allow != "" {
		w.Header().Set("Allow", rejection.allow)
	}
	if r.ContentLength != 0 || !r.ProtoAtLeast(1, 1) {
		w.Header().Set("Connection", "close")
	}
	writeText(w, rejection.status, rejection.reason)
}
