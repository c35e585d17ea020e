package upstream

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// Reasons for which an attempt that has a connection is not sent.
var (
	errClientDisconnected = errors.New("client disconnected")
	errWriteDeadline      = errors.New("write deadline has passed")
	errRevoked            = errors.New("attempt was revoked")
)

// Call controls one attempt while Pool.Send carries it out, usually in another goroutine. It holds
// the context of the attempt, as http.Request does. Its methods are safe for concurrent use.
type Call struct {
	ctx                context.Context
	cancel             context.CancelFunc
	clientDisconnected func() bool
	state              atomicCallState
	writeDeadline      atomic.Pointer[time.Time] // nil if there is none
}

// NewCall returns the Call of a new attempt, which ends when ctx is done or Cancel is called.
// clientDisconnected is called right before the attempt is sent. If it returns true, the attempt is
// not sent.
func NewCall(ctx context.Context, clientDisconnected func() bool) *Call {
	call := &Call{clientDisconnected: clientDisconnected}
	call.ctx, call.cancel = context.WithCancel(ctx)
	return call
}

// Cancel ends the attempt and closes its connection.
func (c *Call) Cancel() { c.cancel() }

// Revoke prevents the attempt from being sent. It returns false if the attempt was sent or revoked
// before.
func (c *Call) Revoke() bool { return c.state.markRevoked() }

// Revoked reports whether the attempt was revoked.
func (c *Call) Revoked() bool { return c.state.is(callRevoked) }

// Started reports whether the attempt counts as sent: its first byte may have been written.
func (c *Call) Started() bool { return c.state.is(callSent) }

// SetWriteDeadline sets a deadline: at that time and later, no byte of the attempt is written. It has
// no effect once writing has begun.
func (c *Call) SetWriteDeadline(deadline time.Time) { c.writeDeadline.Store(&deadline) }

// writeDeadlineOrZero returns the write deadline, or the zero time if there is none.
func (c *Call) writeDeadlineOrZero() time.Time {
	if deadline := c.writeDeadline.Load(); deadline != nil {
		return *deadline
	}
	return time.Time{}
}

// checkAndMarkSent marks the attempt as sent, right before its first byte is written. It returns an error
// if the attempt must not be sent.
//
// It checks the write deadline and the client itself, because the owner of the attempt may react too
// late: its revocation may come after the deadline, and the disconnect of the client may still be in
// its event queue. An attempt must not be sent 0.1 s after its client has disconnected. The process may
// be paused for longer than that after it has read the clock, so it checks the client after the clock.
func (c *Call) checkAndMarkSent() error {
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
