package downstream

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minAcceptBackoff and maxAcceptBackoff limit the backoff after a failed accept, which
	// doubles with each consecutive failure. Clients wait for their responses in the meantime, so
	// the maximum must be short compared with the deadline of any request.
	minAcceptBackoff = time.Millisecond
	maxAcceptBackoff = 20 * time.Millisecond
	// acceptLogInterval is the minimum time between two log lines about failed accepts.
	acceptLogInterval = time.Second
)

// Listener accepts connections and admits them to a Conns. Accept returns them as *Conn.
type Listener struct {
	inner     net.Listener
	conns     *Conns
	closeOnce sync.Once // ensures that conns.listenerClosed is closed only once

	stopping atomic.Bool   // whether StopAccepting was called
	queued   chan net.Conn // connections that StopAccepting took from the accept queue; closed after the last one

	// The fields below are used by Accept only, which net/http calls from a single goroutine.
	unloggedFailures int         // failed accepts since the last log line about them
	lastLogged       time.Time   // time of the last log line about failed accepts; zero if there was none
	pause            acceptPause // the latest pause, for QueueTime
}

// NewListener returns a listener that admits its connections to the set. A set has one listener;
// closing it also ends an admission that is waiting for capacity.
func (cs *Conns) NewListener(inner net.Listener) *Listener {
	return &Listener{inner: inner, conns: cs, queued: make(chan net.Conn)}
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.inner.Addr() }

// Accept implements net.Listener. It retries after temporary errors, so that a shortage of system
// resources does not stop the node.
func (l *Listener) Accept() (net.Conn, error) {
	backoff := minAcceptBackoff
	for {
		c, err := l.acceptAndAdmit()
		switch {
		case err == nil:
			return c, nil
		case !isTemporaryAcceptError(err):
			return nil, err
		}
		l.logAcceptFailure(err)
		l.pause.begin(time.Now())
		if !l.waitBackoff(backoff) {
			return nil, net.ErrClosed
		}
		backoff = min(2*backoff, maxAcceptBackoff)
	}
}

// acceptAndAdmit accepts a connection and admits it. After StopAccepting has been called, it takes a
// connection that was in the accept queue, and returns net.ErrClosed if none is left.
func (l *Listener) acceptAndAdmit() (*Conn, error) {
	netConn, err := l.acceptInner()
	if err != nil && l.stopping.Load() {
		queued, ok := <-l.queued
		if !ok {
			return nil, net.ErrClosed
		}
		netConn, err = queued, nil
	}
	if err != nil {
		return nil, err
	}
	c, err := newConn(netConn, l.conns)
	if err != nil {
		_ = netConn.Close() // the connection is unusable, a failed close is ignored
		return nil, err
	}
	if !l.admit(c) {
		_ = netConn.Close() // the listener is closed, a failed close is ignored
		return nil, net.ErrClosed
	}
	return c, nil
}

// acceptInner accepts a connection from the inner listener. An accept that blocks has found the
// accept queue empty. No connection that the latest pause delayed is left then, so acceptInner resets
// the pause.
func (l *Listener) acceptInner() (net.Conn, error) {
	calledAt := time.Now()
	netConn, err := l.inner.Accept()
	if time.Since(calledAt) >= minAcceptPause {
		l.pause.reset()
	}
	return netConn, err
}

// admit admits an accepted connection and records how long the connection may have been delayed. It
// returns false if the listener was closed.
func (l *Listener) admit(c *Conn) bool {
	acceptedAt := time.Now()
	l.pause.end(acceptedAt)
	if !l.conns.admit(c) {
		return false
	}
	admittedAt := time.Now()
	if admittedAt.Sub(acceptedAt) >= minAcceptPause {
		l.pause.begin(acceptedAt)
		l.pause.end(admittedAt)
	}
	c.setQueueTime(l.pause.maxDelay(admittedAt))
	return true
}

// logAcceptFailure logs a failed accept and the number of failures since the previous such log line,
// at most once per acceptLogInterval.
func (l *Listener) logAcceptFailure(err error) {
	l.unloggedFailures++
	if !l.lastLogged.IsZero() && time.Since(l.lastLogged) < acceptLogInterval {
		return
	}
	slog.Warn("accept failed", "err", err, "failures", l.unloggedFailures)
	l.unloggedFailures, l.lastLogged = 0, time.Now()
}

// waitBackoff waits for d. It returns false if the listener was closed in the meantime.
func (l *Listener) waitBackoff(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.conns.listenerClosed:
		return false
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.conns.listenerClosed) })
	return l.inner.Close()
}
