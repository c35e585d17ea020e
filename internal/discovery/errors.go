package discovery

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"syscall"
)

// ErrorKind classifies the failure of a call to the discovery service.
type ErrorKind int

const (
	// Unknown means that this package has not classified the error.
	Unknown ErrorKind = iota
	// Unreachable means that the call had no connection for any other reason than Refused.
	Unreachable
	// Refused means that the address refused the connection: its machine is up, and nothing listens there.
	Refused
	// Reset means that the connection was closed before the response was complete.
	Reset
	// Timeout means that the response to a call for a snapshot was not complete in time.
	Timeout
	// Unresponsive means that the response to a watch was not complete within its response timeout, which is longer
	// than the time for which the watch asked the discovery service to wait.
	Unresponsive
	// BadStatus means that the status of the response was not 200.
	BadStatus
	// Malformed means that the response was not valid HTTP, or that its body was not an endpoint list.
	Malformed
)

// String returns the name of the kind in log messages.
func (k ErrorKind) String() string {
	switch k {
	case Unknown:
		return "unknown"
	case Unreachable:
		return "unreachable"
	case Refused:
		return "refused"
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
	Err    error // cause of the failure; nil if Kind is BadStatus
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
	case errors.Is(err, context.DeadlineExceeded): // checked first, because a deadline may interrupt any operation
		return Timeout
	case isOperation && operation.Op == "dial" && errors.Is(err, syscall.ECONNREFUSED):
		return Refused
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
