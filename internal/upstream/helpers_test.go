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
	// responseReadTimeout bounds a response of these tests, as a node's does.
	responseReadTimeout = 150 * time.Millisecond
	// clientTimeout is far longer than an attempt of these tests may take.
	clientTimeout = time.Minute
)

// clientDeadline returns the end of the client timeout of an attempt that begins now.
func clientDeadline() time.Time { return time.Now().Add(clientTimeout) }

// closeQuietly closes what the other side or the test may have closed already.
func closeQuietly(closer io.Closer) { _ = closer.Close() }

// writeQuietly writes to a client that may have closed the connection.
func writeQuietly(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// hijackHandler returns a handler that serves the raw connection of each request and
// closes it afterwards.
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

// testPoolConfig permits a connection to be reused at once.
func testPoolConfig() Config {
	return Config{MaxOpen: 10, IdleTimeout: 15 * time.Second, ConnectTimeout: 5 * time.Second}
}

// newPoolWithServer returns a pool that knows one server.
func newPoolWithServer(config Config, address string) (*Pool, policy.ServerID) {
	pool := NewPool(config)
	server := endpoint.Endpoint{ID: 1, Address: address, State: policy.Ready}
	pool.UpdateEndpoints(policy.UpdateSnapshot, []endpoint.Endpoint{server})
	return pool, server.ID
}

// neverDisconnected is a client that does not disconnect.
func neverDisconnected() bool { return false }

// send makes one attempt for a connected client.
func send(ctx context.Context, pool *Pool, id policy.ServerID, request *Request) Result {
	return pool.Send(NewCall(ctx, neverDisconnected), id, request, clientDeadline())
}

// expectAttemptStatus makes one attempt and checks its status.
func expectAttemptStatus(t *testing.T, pool *Pool, id policy.ServerID, want policy.Status) {
	t.Helper()
	if result := send(t.Context(), pool, id, newTestRequest()); result.Status != want {
		t.Errorf("status %v, want %v", result.Status, want)
	}
}

// expectOpenConnections checks the number of connections that the pool counts.
func expectOpenConnections(t *testing.T, pool *Pool, want int) {
	t.Helper()
	if open := pool.Stats().Open; open != want {
		t.Errorf("%d connections are open, want %d", open, want)
	}
}

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
