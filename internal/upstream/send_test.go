package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"calicohinge/internal/sockstate"
	"calicohinge/internal/testkit"
	"calicohinge/policy"
)

// While an attempt waits for its connection, another attempt may get the final response of the request.
// The waiting attempt is then revoked and must not be sent.
func TestRevokedAttemptIsNotSent(t *testing.T) {
	server := testkit.NewRecordingServer(t, testkit.OK)
	pool, id := newPoolWithServer(testPoolConfig(), server.Address())
	call := NewCall(t.Context(), neverDisconnected)
	call.Revoke()

	if result := pool.Send(call, id, newTestRequest(), clientDeadline()); result.Status != policy.StatusNotSent {
		t.Errorf("status of the revoked attempt: got %v, want %v", result.Status, policy.StatusNotSent)
	}
	send(t.Context(), pool, id, newTestRequest())
	if len(server.Requests) != 1 {
		t.Errorf("requests received by the server: got %d, want 1, that of the second attempt", len(server.Requests))
	}
}

func TestAttemptOfDisconnectedClientIsNotSent(t *testing.T) {
	server := testkit.NewRecordingServer(t, testkit.OK)
	pool, id := newPoolWithServer(testPoolConfig(), server.Address())
	call := NewCall(t.Context(), func() bool { return true })

	result := pool.Send(call, id, newTestRequest(), clientDeadline())

	if result.Status != policy.StatusNotSent || !result.ClientDisconnected {
		t.Errorf("attempt: got status %v, client disconnected %v; want %v, true",
			result.Status, result.ClientDisconnected, policy.StatusNotSent)
	}
	if len(server.Requests) != 0 || call.Sent() {
		t.Errorf("attempt: got %d requests received, sent %v; want 0, false", len(server.Requests), call.Sent())
	}
	if pool.Stats().Idle() != 1 {
		t.Error("Stats().Idle() after the attempt is not 1, want the unused connection kept")
	}
}

func TestSentAttemptCannotBeRevoked(t *testing.T) {
	pool, id := newPoolWithServer(testPoolConfig(), testkit.NewRecordingServer(t, testkit.OK).Address())
	call := NewCall(t.Context(), neverDisconnected)
	if result := pool.Send(call, id, newTestRequest(), clientDeadline()); result.Status != policy.StatusOK {
		t.Errorf("status of the attempt: got %v, want %v", result.Status, policy.StatusOK)
	}
	if call.Revoke() || call.Revoked() || !call.Sent() {
		t.Errorf("after Revoke: got revoked %v, sent %v; want false, true", call.Revoked(), call.Sent())
	}
}

// Nothing is written to a new connection that the server has closed, so the attempt may be retried on
// another server. The status StatusConnectFailed allows that.
func TestClosedNewConnectionIsConnectFailed(t *testing.T) {
	listener := testkit.Listen(t)
	pool, id := newPoolWithServer(testPoolConfig(), listener.Addr().String())
	conn, err := pool.acquire(t.Context(), id)
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	closeQuietly(accepted)
	testkit.WaitUntil(t, "the close to be visible", func() bool { return sockstate.Peek(conn.Conn) != sockstate.Idle })

	conn.server.idle = append(conn.server.idle, conn) // the next attempt takes the connection, which counts as new
	conn.idleSince = time.Now()
	expectAttemptStatus(t, pool, id, policy.StatusConnectFailed)
}

// The server reads a long request so slowly that the last byte would be written after the write
// deadline. It must not get that byte, so that it cannot execute the request.
func TestRequestIsNotFullyWrittenAfterWriteDeadline(t *testing.T) {
	t.Parallel()
	listener := listenWithSmallBuffers(t)
	pool, id := newPoolWithServer(testPoolConfig(), listener.Addr().String())
	request := newTestRequest()
	request.Body = make([]byte, maxBodyBytes)
	call := NewCall(t.Context(), neverDisconnected)
	defer call.Cancel()
	call.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	results := make(chan Result, 1)
	go func() { results <- pool.Send(call, id, request, clientDeadline()) }()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(conn)

	result := testkit.Receive(t, results, "the end of the attempt")
	if result.Status != policy.StatusConnectFailed && result.Status != policy.StatusNotSent {
		t.Errorf("status of the attempt: got %v, want %v or %v",
			result.Status, policy.StatusConnectFailed, policy.StatusNotSent)
	}
	if err := readRequest(conn); err == nil || testkit.IsTimeout(err) {
		t.Errorf("readRequest() = %v, want the error of a truncated request on a closed connection", err)
	}
}

// listenWithSmallBuffers opens a listener whose connections receive only a few bytes at a time.
func listenWithSmallBuffers(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, socket syscall.RawConn) error {
		var optionErr error
		controlErr := socket.Control(func(fd uintptr) {
			optionErr = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1024),
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 88))
		})
		return errors.Join(controlErr, optionErr)
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(listener) })
	return listener
}

// readRequest reads a request and its body.
func readRequest(conn net.Conn) error {
	if err := conn.SetDeadline(time.Now().Add(testkit.WaitTimeout)); err != nil {
		return err
	}
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err
}
