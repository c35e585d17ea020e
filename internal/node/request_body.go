package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"calicohinge/internal/memorybudget"
)

const (
	// smallBody is the size of the largest body, in bytes, that needs no reservation. Each connection may hold one.
	smallBody = 4 << 10
	// memoryWaitDivisor limits how long a request may wait for memory: the client's timeout divided by it. The rest of
	// the timeout is left for an attempt and a retry, or for the client to try again elsewhere.
	memoryWaitDivisor = 4
)

// reserveBody reserves memory for the body of a request and returns the time for which it has waited until the memory
// was free. The body stays unread meanwhile, and its connection is not closed. The error wraps
// memorybudget.ErrExhausted.
func (p *requestParser) reserveBody(
	r *http.Request, memory *memorybudget.Lease, timeout time.Duration,
) (time.Duration, error) {
	size := int(r.ContentLength)
	if size <= smallBody || memory.TryReserve(p.bodyMemory, size) {
		return 0, nil
	}
	if conn := clientConnection(r); conn != nil {
		conn.BeginMemoryWait()
		defer conn.EndMemoryWait()
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout/memoryWaitDivisor)
	defer cancel()
	waitBegan := p.clock.now()
	err := memory.Reserve(ctx, p.bodyMemory, size)
	return p.clock.now() - waitBegan, err
}

// readBody reads the body of a request. checkFraming has bounded its length, and the read timeout applies.
func readBody(r *http.Request) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return body, nil
}
