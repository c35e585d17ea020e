package upstream

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// The reasons why an attempt that has its connection is not written.
var (
	errClientDisconnected = errors.New("client disconnected")
	errWriteDeadline      = errors.New("write deadline has passed")
	errRevoked            = errors.New("attempt was revoked")
)

// Call controls one attempt from outside of its Send, which may run in another goroutine. It
// holds the attempt's context, as http.Request does. Its methods may be called from several
// goroutines.
type Call struct {
	ctx                context.Context
	cancel             context.CancelFunc
	clientDisconnected func() bool
	state              atomicCallState
	writeDeadline      atomic.Pointer[time.Time] // nil: none
}

// NewCall prepares an attempt that ends with ctx or Cancel. clientDisconnected is
// called just before the first byte is written: nothing is written if it returns true.
func NewCall(ctx context.Context, clientDisconnected func() bool) *Call {
	call := &Call{clientDisconnected: clientDisconnected}
	call.ctx, call.cancel = context.WithCancel(ctx)
	return call
}

// Cancel ends the attempt: its connection is closed.
func (c *Call) Cancel() { c.cancel() }

// Revoke prevents the attempt from being written. It returns false if the attempt
// has started or was revoked before.
func (c *Call) Revoke() bool { return c.state.markRevoked() }

// Revoked reports whether Revoke came before the first byte.
func (c *Call) Revoked() bool { return c.state.is(callRevoked) }

// Started reports whether writing the first byte has been permitted.
func (c *Call) Started() bool { return c.state.is(callSent) }

// SetWriteDeadline sets the time from which on no byte of the attempt is written.
// It has no effect on an attempt that has started.
func (c *Call) SetWriteDeadline(deadline time.Time) { c.writeDeadline.Store(&deadline) }

// writeDeadlineOrZero returns the write deadline, zero if there is none.
func (c *Call) writeDeadlineOrZero() time.Time {
	if deadline := c.writeDeadline.Load(); deadline != nil {
		return *deadline
	}
	return time.Time{}
}

// permitSend permits the first byte to be written, or returns why nothing may be written. It checks
// the write deadline itself: the owner of the attempt may revoke it too late.
//
// It also checks the client itself: the event of a disconnect may still be queued. An attempt
// must not begin 0.1 s after its client has disconnected, and the process may be paused for
// longer after it has read the clock. So the client is checked after the clock.
func (c *Call) permitSend() error {
	if deadline := c.writeDeadlineOrZero(); !deadline.IsZero() && !time.Now().Before(deadline) {
		return errWriteDeadline
	}
	if c.clientDisconnected() {
		return errClientDisconnected
	}
	if !c.state.markSent() {
		return errRevoked
	}
	return nil
}
