package upstream

import (
	"context"

	"calicohinge/internal/memorybudget"
)

// responseMemory reserves memory for the response to one attempt. The reservations belong to the lease of the request.
type responseMemory struct {
	reserve  func(bytes int) error // waits until the memory is free
	reserved int                   // bytes, responseAllowance included
}

// newResponseMemory returns the memory for the response to an attempt. A reservation waits for at most the response
// read timeout, and ends with the attempt.
func newResponseMemory(ctx context.Context, budget *memorybudget.Budget, request *Request) *responseMemory {
	reserve := func(bytes int) error {
		ctx, cancel := context.WithTimeout(ctx, request.ResponseReadTimeout)
		defer cancel()
		return request.Memory.Reserve(ctx, budget, bytes)
	}
	return &responseMemory{reserve: reserve, reserved: responseAllowance}
}

// ensure reserves what is missing to a number of bytes in all.
func (m *responseMemory) ensure(bytes int) error {
	if bytes <= m.reserved {
		return nil
	}
	missing := max(bytes-m.reserved, responseAllowance)
	if err := m.reserve(missing); err != nil {
		return err
	}
	m.reserved += missing
	return nil
}
