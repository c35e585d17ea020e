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

func TestOnlyRequestsThatMayBeExecutedAgainAreRetried(t *testing.T) {
	for _, c := range []struct {
		name, class string
		fail        http.HandlerFunc
		wantSent    int
		wantStatus  int
	}{
		{"idempotent after an error", "read", testkit.ServerError, 2, 200},
		{"idempotent after a reset", "read", testkit.Reset, 2, 200},
		{"with a key after an error", "push", testkit.ServerError, 2, 200},
		{"with a key after a reset", "push", testkit.Reset, 2, 200},
		{"not idempotent after an error", "pay", testkit.ServerError, 1, 502},
		{"not idempotent after a reset", "pay", testkit.Reset, 1, 502},
		{"not idempotent after a rejection", "pay", testkit.NotProcessed, 2, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			servers := firstRequestFails(t, c.fail)
			n, _ := startReady(t, servers...)
			req := n.request(c.class)
			status := n.do(req).status
			attempts := received(servers...)
			for _, got := range attempts {
				sameHeader(t, req, got, "X-Request-ID", "Idempotency-Key")
			}
			if status != c.wantStatus || len(attempts) != c.wantSent {
				t.Fatalf("status %d after %d sends, want %d after %d", status, len(attempts), c.wantStatus, c.wantSent)
			}
		})
	}
}

// An unresponsive server must not keep the client past its deadline, and once the client has
// its response nothing more is sent and the attempt is cancelled.
func TestUnresponsiveServerFailsTheRequestAtItsDeadline(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	b := testkit.NewBackend(t, testkit.Unresponsive(cancelled))
	n, _ := startReady(t, b)
	r := n.request("pay")
	r.Header.Set("X-Timeout-Ms", "300")
	resp := n.do(r)
	if resp.status != http.StatusBadGateway || resp.took < 200*time.Millisecond {
		t.Errorf("status %d after %v", resp.status, resp.took)
	}
	testkit.Wait(t, cancelled, "the cancelled attempt")
	if len(b.Requests) != 1 {
		t.Errorf("%d sends", len(b.Requests))
	}
}

// When a server becomes unresponsive a hedged request goes elsewhere; once that is served
// the first attempt is cancelled, which closes its connection.
func TestHedgedRequestSucceedsIfTheFirstServerIsUnresponsive(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	var ignoreNext atomic.Bool // the next request stays without a response
	handle := func(w http.ResponseWriter, r *http.Request) {
		if ignoreNext.CompareAndSwap(true, false) {
			testkit.Unresponsive(cancelled)(w, r)
			return
		}
		testkit.OK(w, r)
	}
	server1, server2 := testkit.NewBackend(t, handle), testkit.NewBackend(t, handle)
	n, _ := startReady(t, server1, server2)
	for range 50 { // the balancer learns the usual latency
		n.do(n.request("push"))
	}
	ignoreNext.Store(true)
	sentBefore := len(server1.Requests) + len(server2.Requests)
	if resp := n.do(n.request("push")); resp.status != http.StatusOK {
		t.Fatalf("status %d", resp.status)
	}
	testkit.Wait(t, cancelled, "the cancelled attempt")
	if sent := len(server1.Requests) + len(server2.Requests) - sentBefore; sent != 2 {
		t.Errorf("%d sends, want 2", sent)
	}
}

// With every circuit breaker open the rejection comes at once, with Retry-After.
func TestOpenCircuitBreakerRejectsWithRetryAfter(t *testing.T) {
	down := endpointjson.Endpoint{
		InstanceID: "s-0", Address: testkit.FreeAddr(t), Zone: "a", Lifecycle: "Ready", Weight: 1,
	}
	n := startReadyWith(t, down, nil)
	for range 10 {
		for range 5 { // opens the breaker: there is no time for a retry
			r := n.request("push")
			r.Header.Set("X-Timeout-Ms", "300")
			n.wantRejectionWithRetryAfter(r)
		}
		if rejection := n.wantRejectionWithRetryAfter(n.request("push")); rejection.took < time.Second {
			return
		}
	}
	t.Error("never rejected at once")
}

// wantRejectionWithRetryAfter makes a request and fails the test unless it is rejected, with a Retry-After
// within the limit of the settings.
func (n *testNode) wantRejectionWithRetryAfter(r *http.Request) clientResponse {
	n.t.Helper()
	rejection := n.do(r)
	if rejection.status != http.StatusServiceUnavailable {
		n.t.Fatalf("status %d", rejection.status)
	}
	retryAfter := rejection.header.Get("Retry-After")
	if seconds, err := strconv.ParseFloat(retryAfter, 64); err != nil || seconds <= 0 || seconds > 0.6 {
		n.t.Errorf("Retry-After %q", retryAfter)
	}
	return rejection
}

// closeFunc ends a server's connection after a part of a response.
type closeFunc func(nc net.Conn)

func closeWithFIN(nc net.Conn) { closeConn(nc) }

func closeWithReset(nc net.Conn) { resetConn(nc.(*net.TCPConn)) }

// writeAndClose writes a text and ends the connection.
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

// The response to the first attempt, or also to the second, is truncated. A request that may be executed again is
// retried at another server, any other request fails, and no client gets the truncated response.
func TestTruncatedResponsesAreRetriedIfPermitted(t *testing.T) {
	t.Parallel()
	const complete = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
	for name, text := range map[string]string{
		"half a line":                     "HTTP/1.",
		"half a head":                     "HTTP/1.1 200 OK\r\nContent-Len",
		"a head":                          "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
		"half a body":                     "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndo",
		"no last chunk":                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n",
		"half a chunk":                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndo",
		"half of another response's line": "HTTP/1.1 2" + complete,
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
	t.Run("no length, reset", func(t *testing.T) { // closed it is complete, see TestResponseWithoutLengthIsForwarded
		t.Parallel()
		testTruncatedResponse(t, writeAndClose("HTTP/1.1 200 OK\r\n\r\ndone", closeWithReset))
	})
}

func testTruncatedResponse(t *testing.T, truncate http.HandlerFunc) {
	t.Helper()
	var truncations atomic.Int32 // still to come
	handle := func(w http.ResponseWriter, r *http.Request) {
		if truncations.Add(-1) >= 0 {
			truncate(w, r)
			return
		}
		testkit.OK(w, r)
	}
	servers := []*testkit.Backend{
		testkit.NewBackend(t, handle), testkit.NewBackend(t, handle), testkit.NewBackend(t, handle),
	}
	n, _ := startReady(t, servers...)
	for _, c := range []struct {
		class                             string
		truncations, wantSent, wantStatus int
	}{{"read", 1, 2, 200}, {"read", 2, 3, 200}, {"push", 1, 2, 200}, {"push", 2, 3, 200}, {"pay", 1, 1, 502}} {
		truncations.Store(int32(c.truncations))
		resp := n.do(n.request(c.class))
		sent := len(received(servers...))
		if resp.status != c.wantStatus || sent != c.wantSent || (resp.status == 200 && resp.body != "done") {
			t.Errorf("%s after %d truncations: status %d, body %q, %d sends",
				c.class, c.truncations, resp.status, resp.body, sent)
		}
	}
}

// A response without a length is complete when its server closes the connection: each client gets it, at the first
// attempt. After a reset it would be incomplete.
func TestResponseWithoutLengthIsForwarded(t *testing.T) {
	server := testkit.NewBackend(t, writeAndClose("HTTP/1.1 200 OK\r\n\r\nall of it", closeWithFIN))
	n, _ := startReady(t, server)
	for _, class := range classNames() {
		resp := n.do(n.request(class))
		if resp.status != http.StatusOK || resp.body != "all of it" {
			t.Errorf("%s: status %d, body %q", class, resp.status, resp.body)
		}
	}
	if sent := len(server.Requests); sent != 3 {
		t.Errorf("%d sends, want one a request", sent)
	}
}

// A pooled connection is reset after a request has been written to it: no part of the node sends a request again
// that is not idempotent.
func TestNonIdempotentRequestIsNotResentAfterAReset(t *testing.T) {
	var served atomic.Bool
	handle := func(w http.ResponseWriter, r *http.Request) {
		if served.CompareAndSwap(false, true) {
			testkit.OK(w, r)
			return
		}
		testkit.Reset(w, r)
	}
	resetting, other := testkit.NewBackend(t, handle), testkit.NewBackend(t, testkit.OK)
	l := startLoopWith(t, func(pool *upstream.Config) { pool.SettleDelay = 0 }, resetting.Endpoint("s-0"))
	if first, _ := l.submit(t.Context(), l.newRequest(classPay, staysConnected)); first.status != http.StatusOK {
		t.Fatalf("status %d", first.status)
	}
	testkit.Until(t, "the connection to be pooled", func() bool { return l.pool.Stats().Idle() == 1 })

	done := l.submitAsync(t.Context(), l.newRequest(classPay, staysConnected))
	l.notifyEndpoints(policy.UpdateDelta, other.Endpoint("s-1")) // another one could take it

	l.wantStatus(done, http.StatusBadGateway)
	l.awaitRequests(0, 0)
	if len(resetting.Requests) != 2 || len(other.Requests) != 0 {
		t.Errorf("%d and %d sends, want 2 and none", len(resetting.Requests), len(other.Requests))
	}
}
