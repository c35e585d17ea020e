package discovery

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
)

// ErrorKind says how a call to the discovery service failed.
type ErrorKind int

// The kinds of a failed call.
const (
	// Unknown is an error that this package has not classified.
	Unknown ErrorKind = iota
	// Unreachable is a call without a connection, for example because the service refused it.
	Unreachable
	// Reset is a connection that ended before the response was complete.
	Reset
	// Timeout is a call for the complete list without a complete response in time.
	Timeout
	// Unresponsive is a watch without a complete response although its wait is over.
	Unresponsive
	// BadStatus is a response with a status other than 200.
	BadStatus
	// Malformed is a response that is not valid HTTP, or whose body is not an endpoint list.
	Malformed
)

// String names the kind as in the log.
func (k ErrorKind) String() string {
	switch k {
	case Unknown:
		return "unknown"
	case Unreachable:
		return "unreachable"
	case Reset:
		return "reset"
	case Timeout:
		return "timeout"
	case Unresponsive:
		return "unresponsive"
	case BadStatus:
		return "bad_status"
	case Malformed:
		return "malformed"
	}
	return "kind " + strconv.Itoa(int(k))
}

// Error is a failed call to the discovery service.
type Error struct {
	Kind   ErrorKind
	Status int   // the HTTP status of a BadStatus error, else 0
	Err    error // the cause; nil for a BadStatus error
}

// Error describes the failure in one line.
func (e *Error) Error() string {
	if e.Err == nil {
		return "status " + strconv.Itoa(e.Status)
	}
	return e.Kind.String() + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// transportError classifies an error of the HTTP client, which occurred before the response was complete.
func transportError(err error) *Error { return &Error{Kind: transportErrorKind(err), Err: err} }

// transportErrorKind returns the kind of an error of the HTTP client.
func transportErrorKind(err error) ErrorKind {
	operation, isOperation := errors.AsType[*net.OpError](err)
	switch {
	case errors.Is(err, context.DeadlineExceeded): // first, as a deadline may end any operation
		return Timeout
	case isOperation && operation.Op == "dial":
		return Unreachable
	case isOperation, errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return Reset
	}
	return Malformed
}

// kindOf returns the kind of a failed call.
func kindOf(err error) ErrorKind {
	if failure, ok := errors.AsType[*Error](err); ok {
		return failure.Kind
	}
	return Unknown
}
