package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

const (
	// responseReadTimeout is the response read timeout of the test requests.
	responseReadTimeout = 150 * time.Millisecond
	// clientTimeout is far longer than any attempt in these tests takes.
	clientTimeout = time.Minute
)

// clientDeadline returns the client's deadline for an attempt that starts now.
func clientDeadline() time.Time { return time.Now().Add(clientTimeout) }

// closeQuietly closes a connection or listener that may be closed already, and ignores the error.
func closeQuietly(closer io.Closer) { _ = closer.Close() }

// writeQuietly writes to a connection that the client may have closed, and ignores the error.
func writeQuietly(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// hijackHandler returns a handler that passes the connection of each request to serve and closes it
// afterwards.
func hijackHandler(serve func(conn net.Conn)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer closeQuietly(conn)
		serve(conn)
	}
}

// testPoolConfig returns a configuration without a reuse delay: connections can be reused at once.
func testPoolConfig() Config {
	return Config{MaxOpen: 10, IdleTimeout: 15 * time.Second, ConnectTimeout: 5 * time.Second}
}

// newPoolWithServer returns a pool with one server, at the given address, and the ID of that server.
func newPoolWithServer(config Config, address string) (*Pool, policy.ServerID) {
	pool := NewPool(config)
	server := endpoint.Endpoint{ID: 1, Address: address, State: policy.EndpointReady}
	pool.UpdateEndpoints(policy.UpdateSnapshot, []endpoint.Endpoint{server})
	return pool, server.ID
}

// neverDisconnected is the clientDisconnected function of a client that stays connected.
func neverDisconnected() bool { return false }

// send makes one attempt for a client that stays connected.
func send(ctx context.Context, pool *Pool, id policy.ServerID, request *Request) Result {
	return pool.Send(NewCall(ctx, neverDisconnected), id, request, clientDeadline())
}

// expectAttemptStatus makes one attempt and checks its status.
func expectAttemptStatus(t *testing.T, pool *Pool, id policy.ServerID, want policy.Status) {
	t.Helper()
	if result := send(t.Context(), pool, id, newTestRequest()); result.Status != want {
		t.Errorf("status of the attempt: got %v, want %v", result.Status, want)
	}
}

// expectOpenConnections checks the number of open connections that the pool counts.
func expectOpenConnections(t *testing.T, pool *Pool, want int) {
	t.Helper()
	if open := pool.Stats().Open; open != want {
		t.Errorf("open connections: got %d, want %d", open, want)
	}
}

// newTestRequest returns a request with a body.
func newTestRequest() *Request {
	return &Request{
		Method:              "POST",
		URL:                 &url.URL{Path: "/pay"},
		Host:                "x",
		Header:              http.Header{},
		Body:                []byte("b"),
		ResponseReadTimeout: responseReadTimeout,
	}
}
