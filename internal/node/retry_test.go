package node

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

// After a failed attempt, a request is retried only if a second execution does no harm or the response says that the
// server has not executed the request. A retry keeps the request ID and the idempotency key.
func TestOnlyRequestsThatMayBeExecutedAgainAreRetried(t *testing.T) {
	for _, c := range []struct {
		name, class string
		fail        http.HandlerFunc
		wantSent    int
		wantStatus  int
	}{
		{"idempotent, server error", "read", testkit.ServerError, 2, 200},
		{"idempotent, closed connection", "read", testkit.CloseWithoutResponse, 2, 200},
		{"idempotent with a key, server error", "push", testkit.ServerError, 2, 200},
		{"idempotent with a key, closed connection", "push", testkit.CloseWithoutResponse, 2, 200},
		{"not idempotent, server error", "pay", testkit.ServerError, 1, 502},
		{"not idempotent, closed connection", "pay", testkit.CloseWithoutResponse, 1, 502},
		{"not idempotent, not processed", "pay", testkit.NotProcessed, 2, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			servers := newServersFailingFirst(t, c.fail)
			n, _ := startReadyNode(t, servers...)
			req := n.newRequest(c.class)
			status := n.do(req).status
			attempts := takeRequests(servers...)
			for _, got := range attempts {
				wantSameHeaders(t, req, got, "X-Request-ID", "Idempotency-Key")
			}
			if status != c.wantStatus || len(attempts) != c.wantSent {
				t.Fatalf("request of class %s: status %d after %d attempts, want %d after %d",
					c.class, status, len(attempts), c.wantStatus, c.wantSent)
			}
		})
	}
}

// A request to an unresponsive server fails at the client's deadline. The attempt is cancelled then, and no other
// attempt is sent.
func TestUnresponsiveServerFailsTheRequestAtItsDeadline(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	server := testkit.NewRecordingServer(t, testkit.Unresponsive(cancelled))
	n, _ := startReadyNode(t, server)
	r := n.newRequest("pay")
	r.Header.Set("X-Timeout-Ms", "300")
	resp := n.do(r)
	if resp.status != http.StatusBadGateway || resp.elapsed < 200*time.Millisecond {
		t.Errorf("request with X-Timeout-Ms 300: status %d after %v, want 502 after at least 200ms",
			resp.status, resp.elapsed)
	}
	testkit.Receive(t, cancelled, "the attempt to be cancelled")
	if len(server.Requests) != 1 {
		t.Errorf("the server received %d attempts, want 1", len(server.Requests))
	}
}

// If a server becomes unresponsive, a hedged request is sent to the other server. Once the hedged request is served,
// the first attempt is cancelled, which closes its connection.
func TestHedgedRequestSucceedsIfTheFirstServerIsUnresponsive(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	var ignoreNext atomic.Bool // the server that gets the next request does not respond to it
	handle := func(w http.ResponseWriter, r *http.Request) {
		if ignoreNext.CompareAndSwap(true, false) {
			testkit.Unresponsive(cancelled)(w, r)
			return
		}
		testkit.OK(w, r)
	}
	server1, server2 := testkit.NewRecordingServer(t, handle), testkit.NewRecordingServer(t, handle)
	n, _ := startReadyNode(t, server1, server2)
	for range 50 { // the balancer estimates the baseline latency from these requests
		n.do(n.newRequest("push"))
	}
	ignoreNext.Store(true)
	sentBefore := len(server1.Requests) + len(server2.Requests)
	if resp := n.do(n.newRequest("push")); resp.status != http.StatusOK {
		t.Fatalf("push request whose first attempt gets no response: status %d, want 200", resp.status)
	}
	testkit.Receive(t, cancelled, "the first attempt to be cancelled")
	if sent := len(server1.Requests) + len(server2.Requests) - sentBefore; sent != 2 {
		t.Errorf("the servers received %d attempts, want 2", sent)
	}
}

// If the circuit breaker of the only server is open, a request is rejected with Retry-After at once, long before its
// deadline.
func TestOpenCircuitBreakerRejectsWithRetryAfter(t *testing.T) {
	down := endpointjson.Endpoint{
		InstanceID: "s-0", Address: testkit.FreeAddr(t), Zone: "a", Lifecycle: "Ready", Weight: 1,
	}
	n := startReadyNodeWithConfig(t, down, nil)
	for range 10 {
		for range 5 { // opens the circuit breaker; the timeout leaves no time for a retry
			r := n.newRequest("push")
			r.Header.Set("X-Timeout-Ms", "300")
			n.wantRejectionWithRetryAfter(r)
		}
		if rejection := n.wantRejectionWithRetryAfter(n.newRequest("push")); rejection.elapsed < time.Second {
			return
		}
	}
	t.Error("push requests with a timeout of 8s that were rejected within 1s: got 0 of 10, want at least 1")
}

// wantRejectionWithRetryAfter makes a request and fails the test unless it is rejected with a Retry-After of at most
// MaxRetryAfterMs in settingsJSON.
func (n *testNode) wantRejectionWithRetryAfter(r *http.Request) clientResponse {
	n.t.Helper()
	rejection := n.do(r)
	if rejection.status != http.StatusServiceUnavailable {
		n.t.Fatalf("request to %s: status %d, want 503", r.URL.Path, rejection.status)
	}
	retryAfter := rejection.header.Get("Retry-After")
	if seconds, err := strconv.ParseFloat(retryAfter, 64); err != nil || seconds <= 0 || seconds > 0.6 {
		n.t.Errorf("request to %s: Retry-After %q, want more than 0 and at most 0.6", r.URL.Path, retryAfter)
	}
	return rejection
}

// closeFunc closes a server's connection after it has written a response or part of one.
type closeFunc func(nc net.Conn)

func closeWithFIN(nc net.Conn) { closeQuietly(nc) }

func closeWithReset(nc net.Conn) { resetConn(nc.(*net.TCPConn)) }

// writeAndClose returns a handler that writes text to the connection and then closes it.
func writeAndClose(text string, closeNow closeFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		nc, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		send(nc, text)
		closeNow(nc)
	}
}

// No client may get a truncated response. After one truncated response, or two in a row, a request that may be executed
// again is retried at another server. Any other request fails.
func TestTruncatedResponsesAreRetriedIfPermitted(t *testing.T) {
	t.Parallel()
	const complete = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
	for name, text := range map[string]string{
		"in the status line":                     "HTTP/1.",
		"in the header":                          "HTTP/1.1 200 OK\r\nContent-Len",
		"after the header":                       "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
		"in the body":                            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndo",
		"before the last chunk":                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n",
		"in a chunk":                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndo",
		"in a status line, then a full response": "HTTP/1.1 2" + complete,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testTruncatedResponse(t, writeAndClose(text, closeWithFIN))
		})
		t.Run(name+", reset", func(t *testing.T) {
			t.Parallel()
			testTruncatedResponse(t, writeAndClose(text, closeWithReset))
		})
	}
	// Without a reset the response would be complete, see TestResponseWithoutLengthIsForwarded.
	t.Run("no length, reset", func(t *testing.T) {
		t.Parallel()
		testTruncatedResponse(t, writeAndClose("HTTP/1.1 200 OK\r\n\r\ndone", closeWithReset))
	})
}

// testTruncatedResponse sends requests of each class while truncate handles the next one or two attempts.
func testTruncatedResponse(t *testing.T, truncate http.HandlerFunc) {
	t.Helper()
	var truncations atomic.Int32 // number of further attempts whose response is truncated
	handle := func(w http.ResponseWriter, r *http.Request) {
		if truncations.Add(-1) >= 0 {
			truncate(w, r)
			return
		}
		testkit.OK(w, r)
	}
	servers := []*testkit.RecordingServer{
		testkit.NewRecordingServer(t, handle), testkit.NewRecordingServer(t, handle), testkit.NewRecordingServer(t, handle),
	}
	n, _ := startReadyNode(t, servers...)
	for _, c := range []struct {
		class                             string
		truncations, wantSent, wantStatus int
	}{{"read", 1, 2, 200}, {"read", 2, 3, 200}, {"push", 1, 2, 200}, {"push", 2, 3, 200}, {"pay", 1, 1, 502}} {
		truncations.Store(int32(c.truncations))
		resp := n.do(n.newRequest(c.class))
		sent := len(takeRequests(servers...))
		if resp.status != c.wantStatus || sent != c.wantSent || (resp.status == 200 && resp.body != "done") {
			t.Errorf("request of class %s with %d truncated responses: status %d, body %q after %d attempts; "+
				"want %d after %d, and body \"done\" with status 200",
				c.class, c.truncations, resp.status, resp.body, sent, c.wantStatus, c.wantSent)
		}
	}
}

// A response without a length is complete once the server closes the connection without a reset. The node forwards it
// without a retry, for every class.
func TestResponseWithoutLengthIsForwarded(t *testing.T) {
	server := testkit.NewRecordingServer(t, writeAndClose("HTTP/1.1 200 OK\r\n\r\nall of it", closeWithFIN))
	n, _ := startReadyNode(t, server)
	for _, class := range classNames() {
		resp := n.do(n.newRequest(class))
		if resp.status != http.StatusOK || resp.body != "all of it" {
			t.Errorf("request of class %s: status %d, body %q; want 200 and \"all of it\"", class, resp.status, resp.body)
		}
	}
	if sent := len(server.Requests); sent != 3 {
		t.Errorf("the server received %d attempts for 3 requests, want 3", sent)
	}
}

// If a server closes a pooled connection instead of responding to a request that is not idempotent, no part of the node
// may resend the request, even if another server has capacity: the first server may have executed the request.
func TestNonIdempotentRequestIsNotResentAfterAClose(t *testing.T) {
	var served atomic.Bool
	handle := func(w http.ResponseWriter, r *http.Request) {
		if served.CompareAndSwap(false, true) {
			testkit.OK(w, r)
			return
		}
		testkit.CloseWithoutResponse(w, r)
	}
	closing, other := testkit.NewRecordingServer(t, handle), testkit.NewRecordingServer(t, testkit.OK)
	l := startLoopWith(t, func(pool *upstream.Config) { pool.ReuseDelay = 0 }, closing.Endpoint("s-0"))
	if first, _ := l.submit(t.Context(), l.newRequest(classPay, neverDisconnected)); first.status != http.StatusOK {
		t.Fatalf("first request: status %d, want 200", first.status)
	}
	testkit.WaitUntil(t, "the connection to return to the pool", func() bool { return l.pool.Stats().Idle() == 1 })

	done := l.submitAsync(t.Context(), l.newRequest(classPay, neverDisconnected))
	l.reportEndpoints(policy.UpdateDelta, other.Endpoint("s-1")) // the other server has capacity for a second attempt

	l.wantResponseStatus(done, http.StatusBadGateway)
	l.awaitRequests(0, 0)
	if len(closing.Requests) != 2 || len(other.Requests) != 0 {
		t.Errorf("the first server received %d requests and the second %d, want 2 and 0",
			len(closing.Requests), len(other.Requests))
	}
}
