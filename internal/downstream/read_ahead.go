package downstream

import (
	"errors"
	"io"
	"os"
	"syscall"

	"calicohinge/internal/sockstate"
)

// readAheadChunkSize is the number of bytes per read while a request is active. It is small because
// clients rarely send anything during that time.
const readAheadChunkSize = 4096

// errReadAheadFull is the read error of a client that sends more than Config.MaxReadAheadBytes bytes
// before its response is complete. The client is treated as disconnected.
var errReadAheadFull = errors.New("client exceeded the read-ahead limit while its request was active")

// fillReadAhead reads into the read-ahead buffer until the socket's receive buffer is empty, the
// read-ahead limit is exceeded, or reading fails. In the last two cases it sets c.readErr. If no memory
// is free, it leaves the rest unread, and only detects whether the client has disconnected. The caller
// holds conns.mu.
func (c *Conn) fillReadAhead(fd int) {
	var chunk [readAheadChunkSize]byte
	for c.readErr == nil {
		room := c.readAheadRoom()
		if room == 0 {
			if sockstate.PeerClosed(fd) {
				c.readErr = io.EOF
			}
			return
		}
		n, err := readNonBlocking(fd, chunk[:min(room, readAheadChunkSize)])
		c.appendReadAhead(chunk[:n])
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
		c.releaseReadAhead()
	}
	return n
}

// readAheadRoom returns the number of bytes that the read-ahead buffer can take, after it has reserved
// memory if there was no room. It returns 0 if no memory is free. The caller holds conns.mu.
func (c *Conn) readAheadRoom() int {
	size := readAheadChunkSize + c.readAheadReserved
	if len(c.readAhead) < size {
		return size - len(c.readAhead)
	}
	if !c.conns.config.ReceiveMemory.TryReserve(size) {
		return 0
	}
	c.readAheadReserved += size
	return size
}

// appendReadAhead appends received bytes to the read-ahead buffer, whose capacity is at most the memory that is
// reserved for it. The caller holds conns.mu.
func (c *Conn) appendReadAhead(received []byte) {
	if needed := len(c.readAhead) + len(received); needed > cap(c.readAhead) {
		grown := make([]byte, len(c.readAhead), readAheadChunkSize+c.readAheadReserved)
		copy(grown, c.readAhead)
		c.readAhead = grown
	}
	c.readAhead = append(c.readAhead, received...)
}

// releaseReadAhead discards the read-ahead buffer and releases its memory. The caller holds conns.mu.
func (c *Conn) releaseReadAhead() {
	c.readAhead = nil
	c.conns.config.ReceiveMemory.Release(c.readAheadReserved)
	c.readAheadReserved = 0
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
