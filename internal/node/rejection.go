package node

import (
	"errors"
	"fmt"
	"net/http"
)

// rejectionError says why a request is not forwarded, and with which HTTP status it is rejected.
type rejectionError struct {
	status int
	reason string // the response's body
	allow  string // the method that the class takes, with http.StatusMethodNotAllowed
}

func (e *rejectionError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.reason) }

func badRequest(reason string) *rejectionError {
	return &rejectionError{status: http.StatusBadRequest, reason: reason}
}

// writeRejection writes the response to a request that is not forwarded. The rest of its body is not
// waited for: the connection closes.
func writeRejection(w http.ResponseWriter, r *http.Request, err error) {
	rejection, ok := errors.AsType[*rejectionError](err)
	if !ok {
		rejection = badRequest("the body can't be read") // err is from its reader
	}
	if rejection.allow != "" {
		w.Header().Set("Allow", rejection.allow)
	}
	if r.ContentLength != 0 || !r.ProtoAtLeast(1, 1) {
		w.Header().Set("Connection", "close")
	}
	writeText(w, rejection.status, rejection.reason)
}
