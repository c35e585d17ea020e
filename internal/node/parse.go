package node

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"calicohinge/internal/httpheader"
	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

const (
	maxBody      = 64 << 10 // bytes of a request's body
	maxIDLength  = 128      // bytes of an X-Request-ID
	maxValueBits = 31       // of numbers in headers
	// responseMargin is kept between a final response and the client's deadline, for the
	// way of the request to this node and of the response's last byte back.
	responseMargin = 10 * time.Millisecond
	// maxResponseRead is how long a server may take at most from the first byte of its
	// response to the last.
	maxResponseRead = 150 * time.Millisecond
)

// rejectionError says why a request is not forwarded, and with which HTTP status it is answered.
type rejectionError struct {
	status int
	reason string // the response's body
	allow  string // the method that the class takes, with http.StatusMethodNotAllowed
}

func (e *rejectionError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.reason) }

func badRequest(reason string) *rejectionError {
	return &rejectionError{status: http.StatusBadRequest, reason: reason}
}

// checkFraming rejects messages whose end this node and another one on the way might see
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

// parse validates a request and reads its body. The error is a *rejectionError, or that of
// the body's reader.
func (h *handler) parse(r *http.Request) (*request, error) {
	classIndex, err := h.parseClass(r)
	if err != nil {
		return nil, err
	}
	if !validID(r.Header["X-Request-Id"]) {
		return nil, badRequest("X-Request-ID is missing or malformed")
	}
	tenant, err := h.parseTenant(r)
	if err != nil {
		return nil, err
	}
	timeout, err := parseTimeout(r)
	if err != nil {
		return nil, err
	}
	class := &h.cfg.Policy.Classes[classIndex]
	if err := checkClassRules(r, class.Idempotency); err != nil {
		return nil, err
	}
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	return &request{
		Request:  forwardedRequest(r, body, class),
		class:    classIndex,
		tenant:   tenant,
		costHint: parseCostHint(r),
		deadline: h.loop.clock.now() + min(timeout, class.Deadline) - responseMargin - timeInQueue(r),
	}, nil
}

// timeInQueue returns how long a request may have waited for its connection to be accepted. The
// client's time has been running meanwhile, and no server may be told more than is left of it.
func timeInQueue(r *http.Request) time.Duration {
	if conn := clientConnection(r); conn != nil {
		return conn.QueueTime()
	}
	return 0
}

// parseClass returns the index of the class that the path's first segment names.
func (h *handler) parseClass(r *http.Request) (int, error) {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class, known := h.cfg.Classes[name]
	if !known {
		return 0, &rejectionError{status: http.StatusNotFound, reason: "unknown class"}
	}
	return class, nil
}

// parseTenant returns the tenant's index, 0 where none are configured.
func (h *handler) parseTenant(r *http.Request) (int, error) {
	if len(h.cfg.Tenants) == 0 {
		return 0, nil
	}
	tenant, known := h.cfg.Tenants[singleValue(r.Header["X-Tenant-Id"])]
	if !known {
		return 0, badRequest("X-Tenant-Id is missing or unknown")
	}
	return tenant, nil
}

// parseTimeout returns how long the client waits for its response.
func parseTimeout(r *http.Request) (time.Duration, error) {
	timeout, err := strconv.ParseUint(singleValue(r.Header["X-Timeout-Ms"]), 10, maxValueBits)
	if err != nil || timeout == 0 {
		return 0, badRequest("X-Timeout-Ms is missing or no whole number of milliseconds")
	}
	return time.Duration(timeout) * time.Millisecond, nil
}

// parseCostHint returns the client's estimate of the work, which is in microseconds. It is
// optional, and one that can't be read counts as none.
func parseCostHint(r *http.Request) time.Duration {
	hint, _ := strconv.ParseUint(singleValue(r.Header["X-Cost"]), 10, maxValueBits)
	return time.Duration(hint) * time.Microsecond
}

// checkClassRules checks the method, idempotency key and body that a class of this
// idempotency takes.
func checkClassRules(r *http.Request, idempotency policy.Idempotency) error {
	method := http.MethodPost
	if idempotency == policy.Idempotent {
		method = http.MethodGet
	}
	keys := r.Header["Idempotency-Key"]
	switch {
	case r.Method != method:
		return &rejectionError{
			status: http.StatusMethodNotAllowed, reason: "the class wants " + method, allow: method,
		}
	case idempotency == policy.IdempotentWithKey && singleValue(keys) == "":
		return badRequest("Idempotency-Key is missing")
	case idempotency == policy.NotIdempotent && len(keys) > 0:
		return badRequest("the class takes no Idempotency-Key")
	case idempotency == policy.Idempotent && r.ContentLength != 0:
		return badRequest("the class takes no body")
	}
	return nil
}

// forwardedRequest returns what is sent to servers. Half of the latency objective is the
// longest read of a response, so that one that breaks off leaves time for a retry.
func forwardedRequest(r *http.Request, body []byte, class *policy.Class) upstream.Request {
	objective := class.Objective
	if objective == 0 {
		objective = class.Deadline
	}
	return upstream.Request{
		Method: r.Method,
		URL: &url.URL{
			Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery,
		},
		Host:                r.Host,
		Header:              httpheader.EndToEnd(r.Header),
		Body:                body,
		ResponseReadTimeout: min(maxResponseRead, objective/2),
	}
}

// readBody reads a body of a known, bounded length within the read timeout.
func readBody(r *http.Request) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return body, nil
}

// singleValue returns the value of a header field that must occur once, otherwise "".
func singleValue(values []string) string {
	if len(values) != 1 {
		return ""
	}
	return values[0]
}

// validID reports whether values is one request ID of the permitted characters and length.
func validID(values []string) bool {
	id := singleValue(values)
	if id == "" || len(id) > maxIDLength {
		return false
	}
	for _, c := range []byte(id) {
		if !idCharacter(c) {
			return false
		}
	}
	return true
}

func idCharacter(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return c == '-' || c == '_' || c == '.'
}
