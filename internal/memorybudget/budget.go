// Package memorybudget bounds the memory that the data of clients and servers may occupy in a node. A Budget is a
// number of bytes. Whoever is about to keep data of variable size reserves its bytes first, and releases them once the
// data can be collected as garbage.
//
// Package node sizes the budgets. Package downstream reserves memory for large heads and for bytes that it reads ahead,
// package node for request bodies, and package upstream for response bodies.
package memorybudget

import (
	"context"
	"errors"
	"fmt"

	"golang.org/x/sync/semaphore"
)

// ErrExhausted is the error of a reservation that exceeds the free memory of its budget.
var ErrExhausted = errors.New("memory budget is exhausted")

// Budget is a number of bytes that may be reserved. A nil Budget has no limit. It is safe for concurrent use.
type Budget struct {
	size int64
	free *semaphore.Weighted
}

// New returns a budget of a number of bytes, all of which are free.
func New(size int64) *Budget {
	return &Budget{size: size, free: semaphore.NewWeighted(size)}
}

// Reserve reserves bytes. While too few are free it waits, behind earlier callers, until ctx is done. It then returns
// an error that wraps ErrExhausted.
func (b *Budget) Reserve(ctx context.Context, bytes int) error {
	if b == nil {
		return nil
	}
	if int64(bytes) > b.size {
		return fmt.Errorf("reserve %d bytes of %d: %w", bytes, b.size, ErrExhausted)
	}
	if err := b.free.Acquire(ctx, int64(bytes)); err != nil {
		return fmt.Errorf("reserve %d bytes of %d: %w (%w)", bytes, b.size, ErrExhausted, err)
	}
	return nil
}

// TryReserve reserves bytes and returns true, or returns false if too few are free or another caller waits.
func (b *Budget) TryReserve(bytes int) bool {
	return b == nil || bytes == 0 || b.free.TryAcquire(int64(bytes))
}

// Release frees bytes that were reserved.
func (b *Budget) Release(bytes int) {
	if b != nil {
		b.free.Release(int64(bytes))
	}
}
