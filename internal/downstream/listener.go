package downstream

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"calicohinge/internal/syserror"
)

const (
	// minAcceptBackoff and maxAcceptBackoff bound the pause after a failed accept, which
	// doubles with each failure on end. A client waits for its response meanwhile, so that
	// the longest pause has to be short beside any deadline.
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
	failures int       // of accept that are not logged yet
	loggedAt time.Time // the last of them that is
	stall    acceptStall
}

// Listener returns a listener whose connections are admitted to the set. A set has one
// listener; closing it also ends an admission that waits.
func (cs *Conns) Listener(inner net.Listener) *Listener {
	return &Listener{inner: inner, conns: cs, queued: make(chan net.Conn)}
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.inner.Addr() }

// Accept implements net.Listener. It tries again after every error that the system may
// return for a moment, so that a failure of the system does not end the node.
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
		l.logFailure(err)
		l.stall.begin(time.Now())
		if !l.pause(backoff) {
			return nil, net.ErrClosed
		}
		backoff = min(2*backoff, maxAcceptBackoff)
	}
}

// acceptOne accepts a connection and admits it. After StopAccepting it returns what had
// been in the queue, then net.ErrClosed.
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
		return nil, &connError{err}
	}
	if !l.admit(c) {
		_ = netConn.Close() // as above
		return nil, net.ErrClosed
	}
	return c, nil
}

// acceptInner accepts a connection. If it has to wait for one, none is held up any more.
func (l *Listener) acceptInner() (net.Conn, error) {
	calledAt := time.Now()
	netConn, err := l.inner.Accept()
	if time.Since(calledAt) >= minStall {
		l.stall.clear()
	}
	return netConn, err
}

// admit admits a connection that was accepted, and notes how long it may have been held up.
func (l *Listener) admit(c *Conn) bool {
	acceptedAt := time.Now()
	l.stall.end(acceptedAt)
	if !l.conns.admit(c) {
		return false
	}
	admittedAt := time.Now()
	if admittedAt.Sub(acceptedAt) >= minStall {
		l.stall.begin(acceptedAt)
		l.stall.end(admittedAt)
	}
	c.setQueueTime(l.stall.heldUpFor(admittedAt))
	return true
}

// connError is an error of a connection that was accepted, and not of the listener.
type connError struct{ err error }

func (e *connError) Error() string { return "accepted connection: " + e.err.Error() }

func (e *connError) Unwrap() error { return e.err }

// temporaryAcceptError reports whether a later accept may succeed. The errors that accept(2)
// documents are shortages of the system, or errors of the connection that was to be
// accepted; only some tell of a descriptor that cannot be used.
func temporaryAcceptError(err error) bool {
	var connErr *connError
	if errors.As(err, &connErr) {
		return true
	}
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT:
		return false
	}
	return true
}

// logFailure logs a failed accept, with how many there were since the last such line.
func (l *Listener) logFailure(err error) {
	l.failures++
	if !l.loggedAt.IsZero() && time.Since(l.loggedAt) < acceptLogInterval {
		return
	}
	slog.Warn("accept failed", "err", err, "failures", l.failures)
	l.failures, l.loggedAt = 0, time.Now()
}

// pause waits before another accept. It returns false if the listener was closed.
func (l *Listener) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.conns.listenerClosed:
		return false
	}
}

// StopAccepting refuses new connections and closes the listener. Connections that the
// system has established by then are returned by Accept before it fails: closing a listener
// resets those in its queue, whose clients may have sent requests. It gives up on a
// connection that cannot be accepted when ctx ends.
func (l *Listener) StopAccepting(ctx context.Context) {
	l.stopping.Store(true)
	defer close(l.queued)
	defer func() { _ = l.inner.Close() }() // Accept returns what came of it
	raw, err := rawConn(l.inner)
	if err != nil {
		return
	}
	if err := dropHandshakes(raw); err != nil {
		slog.Debug("cannot refuse connections ahead of the listener's close", "err", err)
	}
	for {
		descriptors, err := acceptQueue(raw)
		for _, descriptor := range descriptors {
			l.enqueue(ctx, descriptor)
		}
		if err == nil || !temporaryAcceptError(err) || ctx.Err() != nil {
			return
		}
		l.pause(minAcceptBackoff)
	}
}

// enqueue has Accept return the connection of a descriptor, if it is called before ctx ends.
func (l *Listener) enqueue(ctx context.Context, descriptor int) {
	file := os.NewFile(uintptr(descriptor), "accepted connection")
	defer func() { _ = file.Close() }() // the connection has a copy, nothing is written here
	netConn, err := net.FileConn(file)
	for err != nil && syserror.IsShortage(err) && ctx.Err() == nil && l.pause(minAcceptBackoff) {
		netConn, err = net.FileConn(file)
	}
	if err != nil {
		slog.Error("accepted connection lost", "err", err)
		return
	}
	select {
	case l.queued <- netConn:
	case <-ctx.Done():
		slog.Error("accepted connection lost", "err", ctx.Err())
		_ = netConn.Close() // as above
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.conns.listenerClosed) })
	return l.inner.Close()
}

// rawConn gives access to the descriptor of a socket.
func rawConn(socket any) (syscall.RawConn, error) {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return conn.SyscallConn()
}

// dropHandshakes has the system drop every further packet that is addressed to a listening
// socket. Connections that are established have sockets of their own.
func dropHandshakes(raw syscall.RawConn) error {
	dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0}
	program := unix.SockFprog{Len: 1, Filter: &dropAll}
	return control(raw, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
}

// acceptQueue accepts all connections that wait at a listening socket. Once there is none
// it ends the listening at once: a connection that is established in between is reset,
// unless dropHandshakes has prevented it. An error leaves the socket listening.
func acceptQueue(raw syscall.RawConn) (descriptors []int, err error) {
	err = control(raw, func(fd int) error {
		for {
			descriptor, errno := acceptOrShutdown(fd)
			switch errno {
			case 0:
				descriptors = append(descriptors, descriptor)
			case unix.EAGAIN:
				return nil
			case unix.EINTR, unix.ECONNABORTED:
			default:
				return errno
			}
		}
	})
	return descriptors, err
}

// acceptOrShutdown accepts a connection or, if there is none, ends the listening and returns
// EAGAIN. It makes raw system calls: between others the scheduler might let other goroutines
// run, and connections could be established meanwhile.
func acceptOrShutdown(fd int) (descriptor int, errno unix.Errno) {
	const flags = unix.SOCK_NONBLOCK | unix.SOCK_CLOEXEC
	accepted, _, errno := unix.RawSyscall6(unix.SYS_ACCEPT4, uintptr(fd), 0, 0, flags, 0, 0)
	if errno == unix.EAGAIN {
		// It cannot fail for a listening socket. The listener is closed next, in any case.
		_, _, _ = unix.RawSyscall(unix.SYS_SHUTDOWN, uintptr(fd), unix.SHUT_RD, 0)
	}
	return int(accepted), errno
}

// control calls a function with the descriptor of a socket.
func control(raw syscall.RawConn, call func(fd int) error) error {
	var callErr error
	err := raw.Control(func(fd uintptr) { callErr = call(int(fd)) })
	return errors.Join(err, callErr)
}
