package downstream

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"calicohinge/internal/testkit"
)

// failingListener fails a number of accepts before it accepts connections from the inner listener.
// Failed accepts remove no connection from the accept queue.
type failingListener struct {
	net.Listener
	failures int
	err      error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, l.err
	}
	return l.Listener.Accept()
}

// acceptError returns an error as package net returns it for a failed accept(2).
func acceptError(errno syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
}

// An error of a single connection, or a shortage of this machine, must not stop the listener.
func TestAcceptIsRetriedAfterTemporaryFailure(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EPROTO, syscall.EPERM, syscall.ETIMEDOUT, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN,
		syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ENOSR, syscall.ECONNRESET,
	} {
		t.Run(fmt.Sprint(errno), func(t *testing.T) {
			inner := testkit.Listen(t)
			listener := newTestConns(5).NewListener(&failingListener{inner, 3, acceptError(errno)})
			client := dial(t, listener)
			send(t, client, "GET")
			expectRead(t, accept(t, listener), "GET")
		})
	}
}

// Accept returns the error if the listening descriptor is unusable or the listener is closed.
func TestAcceptEndsAfterPermanentFailure(t *testing.T) {
	for _, want := range []error{
		acceptError(syscall.EBADF), acceptError(syscall.EINVAL), acceptError(syscall.ENOTSOCK), net.ErrClosed,
	} {
		listener := newTestConns(5).NewListener(&failingListener{testkit.Listen(t), 1, want})
		if _, err := listener.Accept(); !errors.Is(err, want) {
			t.Errorf("Accept: got error %v, want %v", err, want)
		}
	}
}

// Closing the listener interrupts the backoff after a failed accept.
func TestCloseEndsAcceptBackoff(t *testing.T) {
	const unlimited = 1 << 30
	listener := newTestConns(5).NewListener(&failingListener{testkit.Listen(t), unlimited, acceptError(syscall.ENFILE)})
	ended := acceptErrInBackground(listener)
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if err := testkit.Receive(t, ended, "Accept to return"); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept: got error %v, want %v", err, net.ErrClosed)
	}
}

// StopAccepting returns the connections in the accept queue together with the data that their
// clients have sent, and refuses further connections.
func TestStopAcceptingReturnsQueuedConnections(t *testing.T) {
	const queuedConns = 20
	conns := newTestConns(queuedConns)
	listener := listen(t, conns)
	for range queuedConns {
		send(t, dial(t, listener), "GET")
	}
	stopped := make(chan struct{})
	go func() {
		listener.StopAccepting(t.Context())
		close(stopped)
	}()
	for range queuedConns {
		expectRead(t, accept(t, listener), "GET")
	}
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept after the last queued connection: got error %v, want %v", err, net.ErrClosed)
	}
	testkit.Receive(t, stopped, "StopAccepting to return")
	if conn, err := net.Dial("tcp", listener.Addr().String()); err == nil {
		t.Error("net.Dial after StopAccepting succeeded, want an error")
		_ = conn.Close() // whatever Close returns, the test has failed
	}
}

// StopAccepting returns although Accept is not called for a connection in the accept queue.
func TestStopAcceptingGivesUpWhenItsContextEnds(t *testing.T) {
	listener := listen(t, newTestConns(5))
	dial(t, listener)
	listener.StopAccepting(canceledContext())
}

// The first request on a connection may be delayed by failed accepts and by the wait for admission.
// QueueTime includes both, and is 0 for the second request.
func TestQueueTimeCoversAcceptFailuresAndAdmission(t *testing.T) {
	const failures = 4
	const backoff = minAcceptBackoff * (1<<failures - 1)
	conns := newTestConns(1)
	inner := &failingListener{Listener: testkit.Listen(t), err: acceptError(syscall.ENFILE)}
	listener := conns.NewListener(inner)
	dial(t, listener)
	inner.failures = failures

	c := accept(t, listener)
	if c.QueueTime() < backoff {
		t.Errorf("QueueTime() after failed accepts = %v, want at least %v", c.QueueTime(), backoff)
	}

	c.MarkRequestRead()
	dial(t, listener)
	accepted := acceptInBackground(t, listener)
	testkit.WaitUntil(t, "the connection to wait for admission", conns.hasWaiters)
	time.Sleep(backoff)
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	waited := testkit.Receive(t, accepted, "the admission")
	if waited.QueueTime() < backoff {
		t.Errorf("QueueTime() after a wait for admission = %v, want at least %v", waited.QueueTime(), backoff)
	}

	makeIdle(conns, waited)
	if waited.QueueTime() > 0 {
		t.Errorf("QueueTime() of the second request = %v, want 0s", waited.QueueTime())
	}
}
