package node

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

func TestOnlyRequestsThatMayRunAgainAreRetried(t *testing.T) {
	for _, c := range []struct {
		name, class string
		fail        http.HandlerFunc
		sends       int
		status      int
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
			r := n.request(c.class)
			a := n.do(r)
			sends := 0
			for _, got := range received(servers) {
				sends++
				sameHeader(t, r, got, "X-Request-ID", "Idempotency-Key")
			}
			if a.status != c.status || sends != c.sends {
				t.Fatalf("status %d after %d sends, want %d after %d", a.status, sends, c.status, c.sends)
			}
		})
	}
}

// received returns the requests that the servers got, and forgets them.
func received(servers []*testkit.Backend) (requests []*http.Request) {
	for _, server := range servers {
		for len(server.Requests) > 0 {
			requests = append(requests, <-server.Requests)
		}
	}
	return requests
}

// sameHeader fails the test if a field differs between a request sent and the one received.
func sameHeader(t *testing.T, sent, got *http.Request, names ...string) {
	t.Helper()
	for _, name := range names {
		if got.Header.Get(name) != sent.Header.Get(name) {
			t.Errorf("%s: %q became %q", name, sent.Header.Get(name), got.Header.Get(name))
		}
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
	a := n.do(r)
	if a.status != http.StatusBadGateway || a.took < 200*time.Millisecond {
		t.Errorf("status %d after %v", a.status, a.took)
	}
	testkit.Wait(t, cancelled, "the cancelled attempt")
	if len(b.Requests) != 1 {
		t.Errorf("%d sends", len(b.Requests))
	}
}

// When a server becomes unresponsive a hedged request goes elsewhere; once that is served
// the first attempt is cancelled, which closes its connection.
func TestHedgedRequestSucceedsPastAnUnresponsiveServer(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	var quiet atomic.Bool // the next request met stays without an answer
	handle := func(w http.ResponseWriter, r *http.Request) {
		if quiet.CompareAndSwap(true, false) {
			testkit.Unresponsive(cancelled)(w, r)
			return
		}
		testkit.OK(w, r)
	}
	a, b := testkit.NewBackend(t, handle), testkit.NewBackend(t, handle)
	n, _ := startReady(t, a, b)
	for range 50 { // the module learns what is usual
		n.do(n.request("push"))
	}
	quiet.Store(true)
	before := len(a.Requests) + len(b.Requests)
	if r := n.do(n.request("push")); r.status != http.StatusOK {
		t.Fatalf("status %d", r.status)
	}
	testkit.Wait(t, cancelled, "the cancelled attempt")
	if sends := len(a.Requests) + len(b.Requests) - before; sends != 2 {
		t.Errorf("%d sends, want 2", sends)
	}
}

// With every circuit breaker open the rejection comes at once, with Retry-After.
func TestAllServersDownRejectsWithRetryAfter(t *testing.T) {
	d := testkit.NewRegistry(t, endpointjson.Endpoint{InstanceID: "s-0", Address: testkit.FreeAddr(t), Zone: "a", Lifecycle: "Ready", Weight: 1})
	n := start(t, testConfig(t, d, nil))
	n.waitReady(http.StatusOK)
	for try := range 60 {
		r := n.request("push")
		if try%6 != 5 {
			r.Header.Set("X-Timeout-Ms", "300") // no time for a retry: it opens the breaker
		}
		a := n.do(r)
		if a.status != http.StatusServiceUnavailable {
			t.Fatalf("status %d", a.status)
		}
		if s, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err != nil || s <= 0 || s > 0.6 {
			t.Errorf("Retry-After %q", a.header.Get("Retry-After"))
		}
		if try%6 == 5 && a.took < time.Second {
			return
		}
	}
	t.Error("never rejected at once")
}

// truncatedResponse writes a text and ends the connection, by a reset or in order.
func truncatedResponse(text string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		nc, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer closeConn(nc)
		send(nc, text)
		if reset {
			resetConn(nc.(*net.TCPConn))
		}
	}
}

// Responses are truncated, at the first attempt or at the second too: what may run again is
// retried elsewhere, what must not fails, and no client gets the part that came.
func TestTruncatedResponsesAreRetriedIfPermitted(t *testing.T) {
	const (
		good     = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
		noLength = "no length"
	)
	for name, text := range map[string]string{
		"half a line":                   "HTTP/1.",
		"half a head":                   "HTTP/1.1 200 OK\r\nContent-Len",
		"a head":                        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
		"half a body":                   "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndo",
		"no last chunk":                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n",
		"half a chunk":                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndo",
		noLength:                        "HTTP/1.1 200 OK\r\n\r\ndone",
		"half of another answer's line": "HTTP/1.1 2" + good,
	} {
		for _, reset := range []bool{false, true} {
			if name == noLength && !reset {
				continue // complete, see TestResponseWithNoLengthIsForwarded
			}
			t.Run(name+map[bool]string{true: ", reset"}[reset], func(t *testing.T) {
				t.Parallel()
				testTruncatedResponse(t, truncatedResponse(text, reset))
			})
		}
	}
}

// A response with no length is complete when its server closes the connection: each client
// gets it, at the first attempt. A reset would be no end.
func TestResponseWithNoLengthIsForwarded(t *testing.T) {
	server := testkit.NewBackend(t, truncatedResponse("HTTP/1.1 200 OK\r\n\r\nall of it", false))
	n, _ := startReady(t, server)
	for _, class := range []string{"read", "push", "pay"} {
		a := n.do(n.request(class))
		if a.status != http.StatusOK || a.body != "all of it" {
			t.Errorf("%s: status %d, body %q", class, a.status, a.body)
		}
	}
	if sends := len(server.Requests); sends != 3 {
		t.Errorf("%d sends, want one a request", sends)
	}
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
	servers := []*testkit.Backend{testkit.NewBackend(t, handle), testkit.NewBackend(t, handle), testkit.NewBackend(t, handle)}
	n, _ := startReady(t, servers...)
	for _, c := range []struct {
		class                      string
		truncations, sends, status int
	}{{"read", 1, 2, 200}, {"read", 2, 3, 200}, {"push", 1, 2, 200}, {"push", 2, 3, 200}, {"pay", 1, 1, 502}} {
		truncations.Store(int32(c.truncations))
		a := n.do(n.request(c.class))
		sends := len(received(servers))
		if a.status != c.status || sends != c.sends || (a.status == 200 && a.body != "done") {
			t.Errorf("%s after %d truncations: status %d, body %q, %d sends", c.class, c.truncations, a.status, a.body, sends)
		}
	}
}

// Connections come up after the retention of a request's idempotency key, or before. After it
// none of its attempts is written, the first one included, if another may have run.
func TestRepeatsStayWithinTheKeyRetention(t *testing.T) {
	t.Parallel()
	const safe, keyed = 0, 1
	for name, c := range map[string]struct {
		class int
		first policy.Status // of the attempt before, Cancelled for one that is still in flight
		over  bool
		late  int // the attempt whose connection comes up late
		sent  bool
	}{
		"a repeat in time":                    {keyed, policy.ServerError, false, 1, true},
		"a repeat too late":                   {keyed, policy.ServerError, true, 1, false},
		"a hedged request too late":           {keyed, policy.Cancelled, true, 1, false},
		"the first one, too late for a hedge": {keyed, policy.Cancelled, true, 0, false},
		"behind one that never ran":           {keyed, policy.Rejected, true, 1, true},
		"of a safe class":                     {safe, policy.ServerError, true, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			far, quiet := testkit.NewStuckServer(t), testkit.NewBackend(t, testkit.Unresponsive(make(chan struct{}, 1)))
			l := startLoopWith(t, func(pool *upstream.Config) { pool.ConnectTimeout = testkit.WaitTimeout },
				far.Endpoint("late"), quiet.Endpoint("quiet"))
			r := l.newRequest(c.class, staysConnected)
			servers := []policy.ServerID{endpoint.IDOf("quiet"), endpoint.IDOf("quiet")}
			servers[c.late] = endpoint.IDOf("late")
			l.inLoop(t, func() {
				r.completion = make(chan completion, 1)
				r.deadlineTimer = time.NewTimer(time.Hour)
				r.arrive(1000)
				l.requests.add(r)
				l.host.Send(r.id, servers[0], 0)
				if c.first != policy.Cancelled {
					l.reportOutcome(l.clock.now(), r, 0, upstream.Result{Status: c.first})
				}
				if c.over { // by the time that the connection comes up
					r.attempts[0].sentAt += 20*time.Millisecond - l.host.classes[keyed].KeyRetention
				}
				l.host.Send(r.id, servers[1], 0)
			})
			testkit.Until(t, "the window's end", func() bool { // which is under test
				return !c.over || l.clock.now() >= r.attempts[0].sentAt+l.host.classes[keyed].KeyRetention
			})
			received := far.Admit()
			testkit.Until(t, "the outcome", func() (reported bool) {
				l.inLoop(t, func() { reported = r.attempts[c.late].state != attemptInFlight })
				return reported
			})
			if len(received) != map[bool]int{true: 1}[c.sent] {
				t.Errorf("%d sends", len(received))
			}
		})
	}
}

// A pooled connection breaks as a request is written to it, its last byte included: one that
// is not idempotent is not sent again by any part of the node.
func TestNonIdempotentRequestIsNotResentAfterAReset(t *testing.T) {
	var first atomic.Bool
	handle := func(w http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			testkit.OK(w, r)
			return
		}
		testkit.Reset(w, r)
	}
	a, b := testkit.NewBackend(t, handle), testkit.NewBackend(t, testkit.OK)
	l := startLoopWith(t, func(pool *upstream.Config) { pool.SettleDelay = 0 }, a.Endpoint("s-0"))
	if x, _ := l.submit(t.Context(), l.newRequest(2, staysConnected)); x.status != http.StatusOK {
		t.Fatalf("status %d", x.status)
	}
	testkit.Until(t, "the connection to be pooled", func() bool { return l.pool.Stats().Idle() == 1 })
	answered := l.submitAsync(t.Context(), l.newRequest(2, staysConnected))
	l.endpoints.UpdateEndpoints(policy.UpdateDelta, endpointjson.TranslateAll([]endpointjson.Endpoint{b.Endpoint("s-1")})) // another one could take it
	if x := testkit.Wait(t, answered, "an answer"); x.status != http.StatusBadGateway {
		t.Errorf("status %d", x.status)
	}
	l.awaitRequests(t, 0, 0)
	if len(a.Requests) != 2 || len(b.Requests) != 0 {
		t.Errorf("%d and %d sends, want 2 and none", len(a.Requests), len(b.Requests))
	}
}
