package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"calicohinge/internal/testkit"
	"calicohinge/policy"
)

// newStalledRequest returns a request of which the most does not reach a testkit.StalledServer.
func newStalledRequest() *Request {
	request := newTestRequest()
	request.Body = bytes.Repeat([]byte("x"), testkit.StalledBody)
	return request
}

// sendAsync makes an attempt in another goroutine and returns the channel that receives its result.
func sendAsync(pool *Pool, call *Call, id policy.ServerID, request *Request) <-chan Result {
	results := make(chan Result, 1)
	go func() { results <- pool.Send(call, id, request, clientDeadline()) }()
	return results
}

// Guards against an attempt that is executed after it was given up, since the system goes on delivering what was written
// to a server that can be reached again later.
func TestAttemptThatEndsIsNeverDelivered(t *testing.T) {
	for name, end := range map[string]func(call *Call){
		"cancelled":            (*Call).Cancel,
		"withdrawn while open": (*Call).WithdrawUndelivered,
	} {
		t.Run(name, func(t *testing.T) {
			server := testkit.NewStalledServer(t)
			pool, id := newPoolWithServer(testPoolConfig(), server.Address())
			call := NewCall(t.Context(), neverDisconnected)
			results := sendAsync(pool, call, id, newStalledRequest())
			conn := server.AwaitWritten(t)

			end(call)

			result := testkit.Receive(t, results, "the result of the attempt")
			if result.Status != policy.StatusReset {
				t.Errorf("status of the attempt: got %v, want %v", result.Status, policy.StatusReset)
			}
			if received := testkit.CountReceived(t, conn); received >= testkit.StalledBody {
				t.Errorf("bytes that reached the server after the end of the attempt: got %d, want less than the body's %d",
					received, testkit.StalledBody)
			}
			expectOpenConnections(t, pool, 0)
		})
	}
}

// Guards against a response that is lost because an attempt is withdrawn although its server has the whole request.
func TestDeliveredAttemptIsNotWithdrawn(t *testing.T) {
	received, respond := make(chan struct{}), make(chan struct{})
	server := testkit.NewRecordingServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // an error shows as a wrong result of the attempt
		close(received)
		<-respond
		testkit.OK(w, r)
	}))
	pool, id := newPoolWithServer(testPoolConfig(), server.Address())
	call := NewCall(t.Context(), neverDisconnected)
	results := sendAsync(pool, call, id, newStalledRequest())
	testkit.Receive(t, received, "the server to receive the request")
	testkit.WaitUntil(t, "the server's system to acknowledge the request", func() bool {
		call.mu.Lock()
		defer call.mu.Unlock()
		return !call.conn.undelivered()
	})

	call.WithdrawUndelivered()
	close(respond)

	if result := testkit.Receive(t, results, "the result of the attempt"); result.Status != policy.StatusOK {
		t.Errorf("status of the attempt: got %v, want %v", result.Status, policy.StatusOK)
	}
}

// Guards against an attempt that ends a connection which another attempt uses by then.
func TestWithdrawalAfterTheAttemptLeavesItsConnectionOpen(t *testing.T) {
	pool, id := newPoolWithServer(testPoolConfig(), testkit.NewRecordingServer(t, testkit.OK).Address())
	call := NewCall(t.Context(), neverDisconnected)
	if result := pool.Send(call, id, newTestRequest(), clientDeadline()); result.Status != policy.StatusOK {
		t.Fatalf("status of the attempt: got %v, want %v", result.Status, policy.StatusOK)
	}
	call.WithdrawUndelivered()
	call.SetWriteDeadline(time.Now().Add(-time.Hour))
	expectAttemptStatus(t, pool, id, policy.StatusOK)
	expectOpenConnections(t, pool, 1)
}

// Guards against a write that goes on after its deadline, because the deadline is set while the write is blocked.
func TestWriteDeadlineInterruptsABlockedWrite(t *testing.T) {
	const sendBuffer = 4096
	server := testkit.NewStalledServer(t)
	pool, id := newPoolWithServer(testPoolConfig(), server.Address())
	dial := pool.dial
	pool.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return conn, conn.(*net.TCPConn).SetWriteBuffer(sendBuffer)
	}
	call := NewCall(t.Context(), neverDisconnected)
	results := sendAsync(pool, call, id, newStalledRequest())
	conn := testkit.Receive(t, server.Conns, "a connection to the stalled server")
	testkit.WaitUntil(t, "the attempt to be sent", call.Sent)

	call.SetWriteDeadline(time.Now())

	result := testkit.Receive(t, results, "the result of the attempt")
	if result.Status != policy.StatusConnectFailed {
		t.Errorf("status of the attempt: got %v, want %v", result.Status, policy.StatusConnectFailed)
	}
	if received := testkit.CountReceived(t, conn); received >= testkit.StalledBody {
		t.Errorf("bytes that reached the server: got %d, want less than the body's %d", received, testkit.StalledBody)
	}
}

// Guards against the rest of a request that reaches a server after the server has responded to its head, and against a
// connection with such a rest that is used for another request.
func TestRestOfARequestIsWithdrawnAfterAnEarlyResponse(t *testing.T) {
	server := testkit.NewStalledServer(t)
	pool, id := newPoolWithServer(testPoolConfig(), server.Address())
	results := sendAsync(pool, NewCall(t.Context(), neverDisconnected), id, newStalledRequest())
	conn := server.AwaitWritten(t)
	if _, err := io.WriteString(conn, okResponse); err != nil {
		t.Fatal(err)
	}
	if result := testkit.Receive(t, results, "the result of the attempt"); result.Status != policy.StatusOK {
		t.Errorf("status of the attempt: got %v, want %v", result.Status, policy.StatusOK)
	}
	if received := testkit.CountReceived(t, conn); received >= testkit.StalledBody {
		t.Errorf("bytes that reached the server after its response: got %d, want less than the body's %d",
			received, testkit.StalledBody)
	}
	expectOpenConnections(t, pool, 0)
}

// Guards against a reset where a connection without a request is closed: a server may log it as a failure.
func TestIdleConnectionIsClosedInOrder(t *testing.T) {
	ends := make(chan error, 1)
	listener := testkit.Listen(t)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			ends <- err
			return
		}
		defer closeQuietly(conn)
		requests := bufio.NewReader(conn)
		if request, err := http.ReadRequest(requests); err == nil {
			_, _ = io.Copy(io.Discard, request.Body) // an error shows as an end other than io.EOF
			writeQuietly(conn, okResponse)
		}
		_, err = requests.ReadByte()
		ends <- err
	}()
	pool, id := newPoolWithServer(testPoolConfig(), listener.Addr().String())
	expectAttemptStatus(t, pool, id, policy.StatusOK)

	pool.CloseIdle()

	if end := testkit.Receive(t, ends, "the end of the connection"); end != io.EOF { //nolint:errorlint // exactly io.EOF
		t.Errorf("end of the idle connection that the server read: got %v, want %v", end, io.EOF)
	}
	expectOpenConnections(t, pool, 0)
}
