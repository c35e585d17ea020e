package downstream

import (
	"errors"
	"io"
	"time"

	"calicohinge/internal/httphead"
)

const (
	// headAllowance is the memory for the head of a request that each connection may use without a reservation, in
	// bytes.
	headAllowance = 8 << 10
	// serverBufferSize is the size of the buffer through which net/http reads a connection, in bytes.
	serverBufferSize = 4 << 10
	// headReservationUnit is the smallest reservation for a head, in bytes. It keeps reservations rare.
	headReservationUnit = 4 << 10
	// memoryRejection is the response to a request whose head is not read to its end for want of memory.
	memoryRejection = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// memoryRejectionTimeout limits how long memoryRejection may take to be written. It fits into an empty send buffer.
	memoryRejectionTimeout = 10 * time.Millisecond
)

var (
	// errTooManyHeadLines is the read error of a head with too many lines. net/http responds with status 400.
	errTooManyHeadLines = errors.New("head of the request has too many lines")
	// errNoHeadMemory is the read error of a head for which Config.ReceiveMemory has no free memory.
	errNoHeadMemory = errors.New("no memory is free for the head of the request")
)

// limitRead returns the part of p to read into. It bounds what net/http buffers behind the end of a request, see
// httphead.MaxReadSize. A larger p than the buffer of net/http belongs to the rest of a body.
func limitRead(p []byte) []byte {
	if len(p) > serverBufferSize {
		return p
	}
	return p[:min(len(p), httphead.MaxReadSize)]
}

// scanHead accounts for received bytes of a request. It returns an error if its head has too many lines, or needs
// memory that is not free. The caller holds conns.mu.
func (c *Conn) scanHead(received []byte) error {
	c.head.Scan(received)
	if c.head.TooManyLines() {
		return errTooManyHeadLines
	}
	missing := c.head.Memory() - headAllowance - c.headReserved
	if missing <= 0 {
		return nil
	}
	missing = max(missing, headReservationUnit)
	if !c.conns.config.ReceiveMemory.TryReserve(missing) {
		return errNoHeadMemory
	}
	c.headReserved += missing
	return nil
}

// releaseHead releases the memory of the head of a request that is complete, and expects the next head. The caller
// holds conns.mu.
func (c *Conn) releaseHead() {
	c.conns.config.ReceiveMemory.Release(c.headReserved)
	c.headReserved = 0
	c.head = httphead.Scanner{}
}

// rejectForMemory rejects a request whose head has not been read to its end. The rest of the head is not read, so the
// connection is closed next.
func (c *Conn) rejectForMemory() {
	_ = c.SetWriteDeadline(time.Now().Add(memoryRejectionTimeout)) // an error means that the connection is closed
	_, _ = io.WriteString(c, memoryRejection)                      // the client may have disconnected
}
