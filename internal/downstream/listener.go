package downstream

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minAcceptBackoff and maxAcceptBackoff bound the backoff after a failed accept, which
	// doubles with each consecutive failure. A client waits for its response meanwhile, so that
	// the longest backoff has to be short beside any deadline.
	minAcceptBackoff = time.Millisecond
	maxAcceptBackoff = 20 * time.Millisecond
	// acceptLogInterval is the shortest time between two log lines about failed accepts.
	acceptLogInterval = time.Second
)

// Listener admits the connections that it accepts to a set; they are of type *Conn.
type Listener struct {
	inner     net.Listener
	conns     *Conns
	closeOnce sync.Once // guards the close of conns.listenerClosed

	stopping atomic.Bool   // StopAccepting was called
	queued   chan net.Conn // connections that it took from the queue; closed with the last

	// Only Accept uses the fields below; net/http calls it from one goroutine.
	unloggedFailures int       // of accept that are not logged yet
	lastLogged       time.Time // the last log line about them
	pause            acceptPause
}

// Listener returns a listener whose connections are admitted to the set. A set has one
// listener; closing it also ends an admission that waits.
func (cs *Conns) Listener(inner net.Listener) *Listener {
	return &Listener{inner: inner, conns: cs, queued: make(chan net.Conn)}
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.inner.Addr() }

// Accept implements net.Listener. It retries after every temporary error, so that a shortage
// of the system does not end the node.
func (l *Listener) Accept() (net.Conn, error) {
	backoff := minAcceptBackoff
	for {
		c, err := l.acceptOne()
		switch {
		case err == nil:
			return c, nil
		case !temporaryAcceptError(err):
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

// acceptOne accepts a connection and admits it. After StopAccepting it returns the connections
// that were in the accept queue, then net.ErrClosed.
func (l *Listener) acceptOne() (*Conn, error) {
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
		_ = netConn.Close() // nothing can be done about a failure
		return nil, err
	}
	if !l.admit(c) {
		_ = netConn.Close() // as above
		return nil, net.ErrClosed
	}
	return c, nil
}

// acceptInner accepts a connection. If it has to wait for one, the accept queue was empty, and
// no connection in it is delayed any more.
func (l *Listener) acceptInner() (net.Conn, error) {
	calledAt := time.Now()
	netConn, err := l.inner.Accept()
	if time.Since(calledAt) >= minAcceptPause {
		l.pause.reset()
	}
	return netConn, err
}

// admit admits a connection that was accepted, and records how long it may have been delayed.
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

// logAcceptFailure logs a failed accept and the number of failures since the last such line, at most
// once in acceptLogInterval.
func (l *Listener) logAcceptFailure(err error) {
	l.unloggedFailures++
	if !l.lastLogged.IsZero() && time.Since(l.lastLogged) < acceptLogInterval {
		return
	}
	slog.Warn("accept failed", "err", err, "failures", l.unloggedFailures)
	l.unloggedFailures, l.lastLogged = 0, time.Now()
}

// waitBackoff waits for a backoff. It returns false if the listener was closed.
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
