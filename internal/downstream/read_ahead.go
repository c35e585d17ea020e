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

// minReadAheadRoom is the smallest room, in bytes, for which bytes are read ahead. With less, nearly each byte that Read
// returns would move the whole buffer.
const minReadAheadRoom = readAheadChunkSize / 4

// fillReadAhead reads into the read-ahead buffer until the socket's receive buffer is empty, the buffer is full, or
// reading fails, in which case it sets c.readErr. If the buffer is full or no memory is free, it leaves the rest unread,
// and only detects whether the client has disconnected. The caller holds conns.mu.
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
		c.readErr = err
		if n == 0 {
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

// readAheadRoom returns the number of bytes that the read-ahead buffer can take, after it has reserved memory if there
// was too little room. It returns 0 if there is less than minReadAheadRoom. The caller holds conns.mu.
func (c *Conn) readAheadRoom() int {
	size := readAheadChunkSize + c.readAheadReserved
	if room := size - len(c.readAhead); room >= minReadAheadRoom {
		return room
	}
	more := min(size, c.conns.config.MaxReadAheadBytes-size)
	if more <= 0 || !c.conns.config.ReceiveMemory.TryReserve(more) {
		return 0
	}
	c.readAheadReserved += more
	return size + more - len(c.readAhead)
}

// appendReadAhead appends received bytes to the read-ahead buffer. It allocates at most the memory that is reserved, and
// moves the bytes to the start of the buffer if there is no room behind them. The caller holds conns.mu.
func (c *Conn) appendReadAhead(received []byte) {
	if len(c.readAhead)+len(received) > cap(c.readAhead) {
		if size := readAheadChunkSize + c.readAheadReserved; cap(c.readAheadBuffer) < size {
			c.readAheadBuffer = make([]byte, 0, size)
		}
		c.readAhead = append(c.readAheadBuffer[:0], c.readAhead...)
	}
	c.readAhead = append(c.readAhead, received...)
}

// releaseReadAhead discards the read-ahead buffer and releases its memory. The caller holds conns.mu.
func (c *Conn) releaseReadAhead() {
	c.readAhead, c.readAheadBuffer = nil, nil
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
