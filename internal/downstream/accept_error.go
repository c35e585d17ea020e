package downstream

import (
	"errors"
	"fmt"
	"net"
	"syscall"
)

// connError reports that a connection was accepted and cannot be used: it has no socket
// that could be read. The listener is not at fault.
type connError struct {
	conn net.Conn
	err  error // why there is no access to the socket
}

func (e *connError) Error() string {
	return fmt.Sprintf("accepted connection: no socket below %T: %v", e.conn, e.err)
}

// Unwrap returns why there is no access to the socket.
func (e *connError) Unwrap() error { return e.err }

// temporaryAcceptError reports whether a later accept may succeed. The errors that accept(2)
// documents are shortages of the system, or errors of the connection that was to be
// accepted; only some of them mean that the descriptor cannot be used.
func temporaryAcceptError(err error) bool {
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
