package downstream

import (
	"errors"
	"fmt"
	"net"
	"syscall"
)

// connError reports that an accepted connection cannot be used because its socket is not accessible.
// The listener itself still works.
type connError struct {
	conn net.Conn
	err  error // reason why the socket is not accessible
}

func (e *connError) Error() string {
	return fmt.Sprintf("accepted connection of type %T has no accessible socket: %v", e.conn, e.err)
}

// Unwrap returns the reason why the socket is not accessible.
func (e *connError) Unwrap() error { return e.err }

// isTemporaryAcceptError reports whether a later accept may succeed. Most errors that accept(2)
// documents are shortages of system resources or failures of the connection to be accepted; only a
// few mean that the listening descriptor is unusable.
func isTemporaryAcceptError(err error) bool {
	if _, ok := errors.AsType[*connError](err); ok {
		return true
	}
	errno, ok := errors.AsType[syscall.Errno](err)
	if !ok {
		return false
	}
	switch errno {
	case syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT:
		return false
	default:
		return true
	}
}
