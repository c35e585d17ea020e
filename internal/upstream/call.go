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

// Call is the handle by which the owner of an attempt, the event loop of package node, controls the
// attempt while Pool.Send makes it, usually in another goroutine. A Call holds the context of the
// attempt, as http.Request does. Its methods are safe for concurrent use.
type Call struct {
	ctx                context.Context
	cancel             context.CancelFunc
	clientDisconnected func() bool
	state              atomicCallState
	writeDeadline      atomic.Pointer[time.Time] // nil if SetWriteDeadline was not called
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

// Sent reports whether the attempt counts as sent: its first byte may have been written.
func (c *Call) Sent() bool { return c.state.is(callSent) }

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

// checkAndMarkSent marks the attempt as sent, right before its first byte is written. If the attempt
// must not be sent, it returns an error instead.
//
// It checks the write deadline and the client, because the owner of the attempt may be too late to
// revoke it: the owner may run only after the deadline, or the disconnect of the client may still be in
// the event queue of the owner. An attempt must not be sent once its client has been disconnected for
// 0.1 s. The process may be paused for longer than that after it has read the clock, so the client is
// checked after the clock has been read.
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
