package downstream

import (
	"errors"
	"syscall"
)

// connError is an error of a connection that was accepted, and not of the listener.
type connError struct{ err error }

func (e *connError) Error() string { return "accepted connection: " + e.err.Error() }

func (e *connError) Unwrap() error { return e.err }

// temporaryAcceptError reports whether a later accept may succeed. The errors that accept(2)
// documents are shortages of the system, or errors of the connection that was to be
// accepted; only some tell of a descriptor that cannot be used.
func temporaryAcceptError(err error) bool {
	var connErr *connError
	if errors.As(err, &connErr) {
		return true
	}
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT:
		return false
	}
	return true
}
