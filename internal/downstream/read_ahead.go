package downstream

import (
	"errors"
	"io"
	"os"
	"syscall"
)

// readAheadChunkSize is the number of bytes per read while a request is active. It is small because
// clients rarely send anything during that time.
const readAheadChunkSize = 4096

// errReadAheadFull is the read error of a client that sends more than Config.MaxReadAheadBytes bytes
// before its response is complete. The client is treated as disconnected.
var errReadAheadFull = errors.New("client exceeded the read-ahead limit while its request was active")

// fillReadAhead reads into the read-ahead buffer until the socket's receive buffer is empty, the
// read-ahead limit is exceeded, or reading fails. In the last two cases it sets c.readErr. The caller
// holds conns.mu.
func (c *Conn) fillReadAhead(fd int) {
	var chunk [readAheadChunkSize]byte
	for c.readErr == nil {
		n, err := readNonBlocking(fd, chunk[:])
		c.readAhead = append(c.readAhead, chunk[:n]...)
		switch {
		case err != nil:
			c.readErr = err
		case len(c.readAhead) > c.conns.config.MaxReadAheadBytes:
			c.readErr = errReadAheadFull
		case n == 0:
			return
		}
	}
}

// takeReadAhead moves bytes from the read-ahead buffer to p and returns their number. The caller
// holds conns.mu.
func (c *Conn) takeReadAhead(p []byte) int {
	n := copy(p, c.readAhead)
	c.readAhead = c.readAhead[n:]
	if len(c.readAhead) == 0 {
		c.readAhead = nil // release the memory
	}
	return n
}

// readNonBlocking reads from a non-blocking descriptor. It returns 0 bytes and no error if nothing
// has arrived.
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
