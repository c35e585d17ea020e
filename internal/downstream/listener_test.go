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

// failingListener fails a number of accepts, each before a connection leaves the queue.
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

// acceptError is an error as the net package returns it from accept.
func acceptError(errno syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
}

// After any temporary error of accept, the connection is accepted by a later one.
func TestAcceptIsRetriedAfterTemporaryFailure(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EPROTO, syscall.EPERM, syscall.ETIMEDOUT, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN,
		syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ENOSR, syscall.ECONNRESET,
	} {
		t.Run(fmt.Sprint(errno), func(t *testing.T) {
			inner := testkit.Listen(t)
			listener := newTestConns(5).Listener(&failingListener{inner, 3, acceptError(errno)})
			client := dial(t, listener)
			send(t, client, "GET")
			expectRead(t, accept(t, listener), "GET")
		})
	}
}

// A descriptor that cannot be used, and the listener's close, end the accepting.
func TestAcceptEndsAfterPermanentFailure(t *testing.T) {
	for _, want := range []error{
		acceptError(syscall.EBADF), acceptError(syscall.EINVAL), acceptError(syscall.ENOTSOCK), net.ErrClosed,
	} {
		listener := newTestConns(5).Listener(&failingListener{testkit.Listen(t), 1, want})
		if _, err := listener.Accept(); !errors.Is(err, want) {
			t.Errorf("ended with %v, want %v", err, want)
		}
	}
}

// Closing the listener ends the backoff after a failure.
func TestCloseEndsAcceptBackoff(t *testing.T) {
	const unlimited = 1 << 30
	listener := newTestConns(5).Listener(&failingListener{testkit.Listen(t), unlimited, acceptError(syscall.ENFILE)})
	ended := acceptErrInBackground(listener)
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if err := testkit.Wait(t, ended, "accepting to end"); !errors.Is(err, net.ErrClosed) {
		t.Errorf("ended with %v", err)
	}
}

// Connections in the accept queue are returned, with what their clients sent.
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
		t.Errorf("accepting ended with %v", err)
	}
	testkit.Wait(t, stopped, "StopAccepting")
	if conn, err := net.Dial("tcp", listener.Addr().String()); err == nil {
		t.Error("a connection was accepted after the end")
		_ = conn.Close() // nothing was sent on it
	}
}

// Connections that nobody accepts do not delay the shutdown.
func TestStopAcceptingGivesUpWhenItsContextEnds(t *testing.T) {
	listener := listen(t, newTestConns(5))
	dial(t, listener)
	listener.StopAccepting(canceledContext())
}

// A client's first request may wait until accept succeeds after failures, and until its
// connection is admitted. The connection reports the time of this wait.
func TestQueueTimeCoversAcceptFailuresAndAdmission(t *testing.T) {
	const failures = 4
	const backoff = minAcceptBackoff * (1<<failures - 1)
	conns := newTestConns(1)
	inner := &failingListener{Listener: testkit.Listen(t), err: acceptError(syscall.ENFILE)}
	listener := conns.Listener(inner)
	dial(t, listener)
	inner.failures = failures

	c := accept(t, listener)
	if c.QueueTime() < backoff {
		t.Errorf("%v in the queue after failures for %v", c.QueueTime(), backoff)
	}

	c.RequestComplete()
	dial(t, listener)
	accepted := acceptInBackground(t, listener)
	testkit.Until(t, "the admission to wait", conns.hasWaiters)
	time.Sleep(backoff)
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	waited := testkit.Wait(t, accepted, "the admission")
	if waited.QueueTime() < backoff {
		t.Errorf("%v in the queue after an admission of %v", waited.QueueTime(), backoff)
	}

	makeIdle(conns, waited)
	if waited.QueueTime() > 0 {
		t.Errorf("%v in the queue for the second request", waited.QueueTime())
	}
}
