package upstream

import (
	"context"
	"sync/atomic"
	"time"
)

// Call is the socket side of one attempt.
type Call struct {
	ctx                context.Context
	cancel             context.CancelFunc
	clientDisconnected func() bool
	gate               atomic.Int32
	writeDeadline      atomic.Pointer[time.Time] // nil: none
}

const (
	unsent int32 = iota
	sending
	revoked
)

// NewCall prepares an attempt. Just before its first byte is written,
// clientDisconnected is asked whether somebody still waits for the answer.
func NewCall(ctx context.Context, clientDisconnected func() bool) *Call {
	c := &Call{clientDisconnected: clientDisconnected}
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c
}

// Cancel gives the attempt up: its connection is closed.
func (c *Call) Cancel() { c.cancel() }

// Revoke keeps the call from being written; it reports false if that has begun.
func (c *Call) Revoke() bool { return c.gate.CompareAndSwap(unsent, revoked) }

// Revoked reports whether Revoke came before the first byte.
func (c *Call) Revoked() bool { return c.gate.Load() == revoked }

// Started reports whether the first byte has been released for writing.
func (c *Call) Started() bool { return c.gate.Load() == sending }

// SetWriteDeadline sets the time from which on nothing of the call is written.
func (c *Call) SetWriteDeadline(deadline time.Time) { c.writeDeadline.Store(&deadline) }

// deadline returns the write deadline; zero if there is none.
func (c *Call) deadline() (deadline time.Time) {
	if p := c.writeDeadline.Load(); p != nil {
		deadline = *p
	}
	return deadline
}
