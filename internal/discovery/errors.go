package discovery

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
)

// ErrorKind classifies the failure of a call to the discovery service.
type ErrorKind int

const (
	// Unknown is an error that this package has not classified.
	Unknown ErrorKind = iota
	// Unreachable is a call that got no connection, for example because the connection was refused.
	Unreachable
	// Reset is a call whose connection was closed before the response was complete.
	Reset
	// Timeout is a call for a snapshot that got no complete response in time.
	Timeout
	// Unresponsive is a watch that got no complete response although its wait was over.
	Unresponsive
	// BadStatus is a response with a status other than 200.
	BadStatus
	// Malformed is a response that is not valid HTTP, or whose body is not an endpoint list.
	Malformed
)

// String returns the name of the kind in log messages.
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

// Error describes a failed call to the discovery service.
type Error struct {
	Kind   ErrorKind
	Status int   // HTTP status if Kind is BadStatus, else 0
	Err    error // cause; nil if Kind is BadStatus
}

// Error returns the kind and the cause, or the status of a BadStatus error.
func (e *Error) Error() string {
	if e.Err == nil {
		return "status " + strconv.Itoa(e.Status)
	}
	return e.Kind.String() + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// transportError returns an *Error for an error of the HTTP client that occurred before the response was complete.
func transportError(err error) *Error { return &Error{Kind: transportErrorKind(err), Err: err} }

// transportErrorKind returns the kind of an error of the HTTP client.
func transportErrorKind(err error) ErrorKind {
	operation, isOperation := errors.AsType[*net.OpError](err)
	switch {
	case errors.Is(err, context.DeadlineExceeded): // first, because a deadline may interrupt any operation
		return Timeout
	case isOperation && operation.Op == "dial":
		return Unreachable
	case isOperation, errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return Reset
	}
	return Malformed
}

// kindOf returns the kind of an error, Unknown if it is not an *Error.
func kindOf(err error) ErrorKind {
	if failure, ok := errors.AsType[*Error](err); ok {
		return failure.Kind
	}
	return Unknown
}
