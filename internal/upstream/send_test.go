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

// While an attempt waits for its connection, the request may get its final response from
// another one. The attempt must not be written any more.
func TestRevokedCallIsNotSent(t *testing.T) {
	backend := testkit.NewBackend(t, testkit.OK)
	pool, id := newPoolWithServer(testPoolConfig(), backend.Address())
	call := NewCall(t.Context(), neverDisconnected)
	call.Revoke()

	if result := pool.Send(call, id, newTestRequest(), clientDeadline()); result.Status != policy.NotSent {
		t.Errorf("status %v", result.Status)
	}
	send(t.Context(), pool, id, newTestRequest())
	if len(backend.Requests) != 1 {
		t.Errorf("%d requests were received, want the second one only", len(backend.Requests))
	}
}

func TestCallOfADisconnectedClientIsNotSent(t *testing.T) {
	backend := testkit.NewBackend(t, testkit.OK)
	pool, id := newPoolWithServer(testPoolConfig(), backend.Address())
	call := NewCall(t.Context(), func() bool { return true })

	result := pool.Send(call, id, newTestRequest(), clientDeadline())

	if result.Status != policy.NotSent || !result.ClientDisconnected {
		t.Errorf("status %v, client disconnected %v", result.Status, result.ClientDisconnected)
	}
	if len(backend.Requests) != 0 || call.Started() {
		t.Errorf("%d requests were received, started %v", len(backend.Requests), call.Started())
	}
	if pool.Stats().Idle() != 1 {
		t.Error("the unused connection is not kept")
	}
}

func TestStartedCallCannotBeRevoked(t *testing.T) {
	pool, id := newPoolWithServer(testPoolConfig(), testkit.NewBackend(t, testkit.OK).Address())
	call := NewCall(t.Context(), neverDisconnected)
	if result := pool.Send(call, id, newTestRequest(), clientDeadline()); result.Status != policy.OK {
		t.Errorf("status %v", result.Status)
	}
	if call.Revoke() || call.Revoked() || !call.Started() {
		t.Errorf("revoked %v, started %v", call.Revoked(), call.Started())
	}
}

// Nothing was written to a new connection that the server has closed: the attempt may be
// repeated on another server.
func TestNewConnectionThatWasClosedIsConnectFailed(t *testing.T) {
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
	testkit.Until(t, "the close to show", func() bool { return sockstate.Peek(conn.Conn) != sockstate.Quiet })

	conn.server.idle = append(conn.server.idle, conn) // the next attempt gets it as a new connection
	conn.idleSince = time.Now()
	expectAttemptStatus(t, pool, id, policy.ConnectFailed)
}

// A server reads a long request so slowly that its last byte would be written after the
// write deadline. The server never gets that byte, and so does not begin the request.
func TestRequestIsNotCompletedPastTheWriteDeadline(t *testing.T) {
	t.Parallel()
	listener := listenWithSmallBuffers(t)
	pool, id := newPoolWithServer(testPoolConfig(), listener.Addr().String())
	request := newTestRequest()
	request.Body = make([]byte, maxBody)
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

	result := testkit.Wait(t, results, "the end of the attempt")
	if result.Status != policy.ConnectFailed && result.Status != policy.NotSent {
		t.Errorf("status %v", result.Status)
	}
	if err := readRequest(conn); err == nil || testkit.IsTimeout(err) {
		t.Errorf("the request is complete or continues: %v", err)
	}
}

// listenWithSmallBuffers opens a listener whose connections take in a few bytes at
// a time.
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

// readRequest reads a request with its body.
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
