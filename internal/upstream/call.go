package upstream

import (
	"context"
	"errors"
	"sync"
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

	mu            sync.Mutex
	writeDeadline time.Time   // zero if SetWriteDeadline was not called
	conn          *connection // the connection that Pool.Send uses for the attempt now; nil if there is none
}

// NewCall returns the Call of a new attempt, which ends when ctx is done or Cancel is called.
// clientDisconnected is called right before the attempt is sent. If it returns true, the attempt is
// not sent.
func NewCall(ctx context.Context, clientDisconnected func() bool) *Call {
	call := &Call{clientDisconnected: clientDisconnected}
	call.ctx, call.cancel = context.WithCancel(ctx)
	return call
}

// Cancel ends the attempt and resets its connection: what has not reached the server never reaches it.
func (c *Call) Cancel() { c.cancel() }

// Revoke prevents the attempt from being sent. It returns false if the attempt was sent or revoked
// before.
func (c *Call) Revoke() bool { return c.state.markRevoked() }

// Revoked reports whether the attempt was revoked.
func (c *Call) Revoked() bool { return c.state.is(callRevoked) }

// Sent reports whether the attempt counts as sent: its first byte may have been written.
func (c *Call) Sent() bool { return c.state.is(callSent) }

// SetWriteDeadline sets a deadline: at that time and later, no byte of the attempt is written.
func (c *Call) SetWriteDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = deadline
	if c.conn != nil {
		c.conn.setWriteDeadline(deadline)
	}
}

// WithdrawUndelivered resets the connection of the attempt if the server's system has not acknowledged the whole request.
// The rest of the request never reaches the server then. The attempt counts as possibly executed, since an
// acknowledgement may have been lost.
func (c *Call) WithdrawUndelivered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && c.conn.undelivered() {
		c.conn.abort()
	}
}

// attach makes a connection subject to the write deadline and to WithdrawUndelivered until detach is called.
func (c *Call) attach(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	conn.setWriteDeadline(c.writeDeadline)
}

// detach ends the effect of attach. The connection may then be used for another attempt.
func (c *Call) detach() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = nil
}

// writeDeadlinePassed reports whether no byte of the attempt may be written any more.
func (c *Call) writeDeadlinePassed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writeDeadline.IsZero() && !time.Now().Before(c.writeDeadline)
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
	if c.writeDeadlinePassed() {
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
