package upstream

import (
	"context"
	"errors"
	"net"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"calicohinge/internal/testkit"
	"calicohinge/policy"
)

// If this machine lacks something for a connection, no server is at fault: the status is
// NotSent. If the server cannot be reached it is ConnectFailed. Either frees the capacity.
func TestStatusOfAFailedDial(t *testing.T) {
	for errno, want := range map[syscall.Errno]policy.Status{
		syscall.EMFILE: policy.NotSent, syscall.ENOBUFS: policy.NotSent, syscall.EADDRNOTAVAIL: policy.NotSent,
		syscall.ENETUNREACH: policy.ConnectFailed, syscall.EHOSTUNREACH: policy.ConnectFailed,
		syscall.ECONNREFUSED: policy.ConnectFailed, syscall.ETIMEDOUT: policy.ConnectFailed,
	} {
		pool, id := newPoolWithServer(testPoolConfig(), "127.0.0.1:1")
		pool.dial = func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
		}
		expectAttemptStatus(t, pool, id, want)
		expectOpenConnections(t, pool, 0)
	}
}

// The timeout that a server gets is what the client has left as the request is written,
// after the time that its connection took.
func TestTimeForTheConnectionIsTakenFromTheTimeout(t *testing.T) {
	const timeout, connecting = 10 * time.Second, 300 * time.Millisecond
	backend := testkit.NewBackend(t, testkit.OK)
	pool, id := newPoolWithServer(testPoolConfig(), backend.Address())
	var dialer net.Dialer
	pool.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		time.Sleep(connecting)
		return dialer.DialContext(ctx, network, address)
	}

	result := pool.Send(NewCall(t.Context(), neverDisconnected), id, newTestRequest(), time.Now().Add(timeout))
	if result.Status != policy.OK {
		t.Fatalf("status %v", result.Status)
	}
	received := testkit.Wait(t, backend.Requests, "the request")
	milliseconds, err := strconv.Atoi(received.Header.Get(timeoutHeader))
	if err != nil || milliseconds <= 0 || time.Duration(milliseconds)*time.Millisecond > timeout-connecting {
		t.Errorf("the server got a timeout of %d ms, %v; want %v at most", milliseconds, err, timeout-connecting)
	}
}

// Nothing is written if the client's deadline has passed when the connection is established.
func TestRequestIsNotWrittenAfterTheDeadline(t *testing.T) {
	backend := testkit.NewBackend(t, testkit.OK)
	pool, id := newPoolWithServer(testPoolConfig(), backend.Address())
	call := NewCall(t.Context(), neverDisconnected)

	result := pool.Send(call, id, newTestRequest(), time.Now())

	if result.Status != policy.NotSent || call.Started() || len(backend.Requests) > 0 {
		t.Errorf("status %v, started %v, %d requests received", result.Status, call.Started(), len(backend.Requests))
	}
}

// The client is checked after the clock is read for the last time. The process may be paused
// there, and an attempt must not begin long after its client has disconnected.
func TestClientIsCheckedAfterTheWriteDeadline(t *testing.T) {
	call := NewCall(t.Context(), func() bool {
		t.Error("the client was checked although the deadline has passed")
		return false
	})
	call.SetWriteDeadline(time.Now())
	if err := call.permitSend(); !errors.Is(err, errWriteDeadline) {
		t.Errorf("start returned %v", err)
	}
}
