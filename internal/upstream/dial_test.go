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

// If this machine lacks a resource for a connection, the server is not at fault and the status is
// StatusNotSent. If the server cannot be reached, the status is StatusConnectFailed. In either case,
// the failed connection must no longer count as open.
func TestFailedDialStatus(t *testing.T) {
	for errno, want := range map[syscall.Errno]policy.Status{
		syscall.EMFILE: policy.StatusNotSent, syscall.ENOBUFS: policy.StatusNotSent,
		syscall.EADDRNOTAVAIL: policy.StatusNotSent,
		syscall.ENETUNREACH:   policy.StatusConnectFailed, syscall.EHOSTUNREACH: policy.StatusConnectFailed,
		syscall.ECONNREFUSED: policy.StatusConnectFailed, syscall.ETIMEDOUT: policy.StatusConnectFailed,
	} {
		pool, id := newPoolWithServer(testPoolConfig(), "127.0.0.1:1")
		pool.dial = func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
		}
		expectAttemptStatus(t, pool, id, want)
		expectOpenConnections(t, pool, 0)
	}
}

// The timeout in a request is the time that the client has left when the request is written. The time
// for opening the connection is not part of it.
func TestTimeoutHeaderExcludesConnectTime(t *testing.T) {
	const timeout, connecting = 10 * time.Second, 300 * time.Millisecond
	server := testkit.NewRecordingServer(t, testkit.OK)
	pool, id := newPoolWithServer(testPoolConfig(), server.Address())
	var dialer net.Dialer
	pool.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		time.Sleep(connecting)
		return dialer.DialContext(ctx, network, address)
	}

	result := pool.Send(NewCall(t.Context(), neverDisconnected), id, newTestRequest(), time.Now().Add(timeout))
	if result.Status != policy.StatusOK {
		t.Fatalf("status of the attempt: got %v, want %v", result.Status, policy.StatusOK)
	}
	received := testkit.Receive(t, server.Requests, "the request")
	milliseconds, err := strconv.Atoi(received.Header.Get(timeoutHeader))
	if err != nil || milliseconds <= 0 || time.Duration(milliseconds)*time.Millisecond > timeout-connecting {
		t.Errorf("timeout header: got %d ms, error %v; want at most %v", milliseconds, err, timeout-connecting)
	}
}

// An attempt must not be sent if the client's deadline has passed when the connection is established.
func TestAttemptIsNotSentAfterClientDeadline(t *testing.T) {
	server := testkit.NewRecordingServer(t, testkit.OK)
	pool, id := newPoolWithServer(testPoolConfig(), server.Address())
	call := NewCall(t.Context(), neverDisconnected)

	result := pool.Send(call, id, newTestRequest(), time.Now())

	if result.Status != policy.StatusNotSent || call.Sent() || len(server.Requests) > 0 {
		t.Errorf("attempt: got status %v, sent %v, %d requests received; want %v, false, 0",
			result.Status, call.Sent(), len(server.Requests), policy.StatusNotSent)
	}
}

// The client is checked after the last reading of the clock. If the process is paused after that
// reading, the client may have disconnected long before the attempt would be sent.
func TestClientIsCheckedAfterWriteDeadline(t *testing.T) {
	call := NewCall(t.Context(), func() bool {
		t.Error("the client was checked before the write deadline, which has passed")
		return false
	})
	call.SetWriteDeadline(time.Now())
	if err := call.checkAndMarkSent(); !errors.Is(err, errWriteDeadline) {
		t.Errorf("checkAndMarkSent() = %v, want %v", err, errWriteDeadline)
	}
}
