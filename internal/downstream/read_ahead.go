package downstream

import (
	"errors"
	"io"
	"os"
	"syscall"
)

// readAheadChunkSize is how much is read at once while a request is active, in bytes.
// Clients rarely send anything at that time.
const readAheadChunkSize = 4096

// errReadAheadFull is the read error of a client that sends too much without waiting for
// its responses. The client counts as disconnected.
var errReadAheadFull = errors.New("client sent more than one request ahead of a response")

// fillReadAhead buffers what has arrived while a request is active, until the socket
// is empty, the buffer is full or reading fails. In the last two cases it sets c.readErr. The
// caller holds conns.mu.
func (c *Conn) fillReadAhead(fd int) {
	var chunk [readAheadChunkSize]byte
	for c.readErr == nil {
		n, err := readNonBlocking(fd, chunk[:])
		c.readAhead = append(c.readAhead, chunk[:n]...)
		switch {
		case err != nil:
			c.readErr = err
		case len(c.readAhead) > c.conns.config.MaxReadAhead:
			c.readErr = errReadAheadFull
		case n == 0:
			return
		}
	}
}

// takeReadAhead moves buffered bytes to p. The caller holds conns.mu.
func (c *Conn) takeReadAhead(p []byte) int {
	n := copy(p, c.readAhead)
	c.readAhead = c.readAhead[n:]
	if len(c.readAhead) == 0 {
		c.readAhead = nil // frees the buffer
	}
	return n
}

// readNonBlocking reads what has arrived: 0 bytes and no error if there is nothing.
func readNonBlocking(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, p)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return 0, nil
		case err != nil:
			return 0, os.NewSyscallError("read", err)
		case n == 0:
			return 0, io.EOF
		}
		return n, nil
	}
}
