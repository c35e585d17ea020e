package downstream

import (
	"errors"
	"io"
	"os"
	"syscall"
)

var errReadAheadFull = errors.New("more than a whole request came ahead of an answer")

// fillReadAhead takes in what came while a request is at work; conns.mu is held.
func (c *Conn) fillReadAhead(fd int) {
	var p [4096]byte
	for c.readErr == nil {
		n, err := readNonBlocking(fd, p[:])
		switch c.readAhead = append(c.readAhead, p[:n]...); {
		case err != nil:
			c.readErr = err
		case len(c.readAhead) > c.conns.config.MaxReadAhead:
			c.readErr = errReadAheadFull
		case n == 0:
			return
		}
	}
}

// readNonBlocking reads without waiting: 0 and no error if nothing is there.
func readNonBlocking(fd int, p []byte) (int, error) {
	for {
		switch n, err := syscall.Read(fd, p); {
		case err == syscall.EINTR:
		case err == syscall.EAGAIN:
			return 0, nil
		case err != nil:
			return 0, os.NewSyscallError("read", err)
		case n == 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}
