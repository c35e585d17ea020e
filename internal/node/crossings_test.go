package node

// Each test here forces two events to cross that seldom do by themselves; docs/crossings.md
// lists them. Peers follow a script, and channels or the node's own state say when to go on.

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/internal/sockstate"
	"calicohinge/internal/testkit"
	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

// deadlines replaces the deadlines of all classes.
func deadlines(ms int) func(file map[string]any) {
	return func(file map[string]any) {
		text := strings.ReplaceAll(settingsText, `"DeadlineMs": 8000, "PromiseMs": 6000`,
			fmt.Sprintf(`"DeadlineMs": %d, "PromiseMs": %d`, ms, ms*3/4))
		file["settings"] = json.RawMessage(text)
	}
}

// loopOf starts a node's loop and upstreams on their own, before servers known by a list.
func loopOf(t *testing.T, list ...endpoint.Endpoint) *loop {
	t.Helper()
	return loopWith(t, func(*upstream.Config) {}, list...)
}

// loopWith does the same with another configuration of the pool.
func loopWith(t *testing.T, change func(*upstream.Config), list ...endpoint.Endpoint) *loop {
	t.Helper()
	cfg := testConfig(t, testkit.NewRegistry(t), nil)
	pool := upstreamConfig(cfg, 20)
	change(&pool)
	l, err := newLoop(t.Context(), cfg, upstream.NewPool(pool), unwatched{})
	if err != nil {
		t.Fatal(err)
	}
	go l.run()
	l.UpdateEndpoints(policy.UpdateSnapshot, list)
	return l
}

// then runs in the loop, after all that was posted before.
func (l *loop) then(t *testing.T, what func()) {
	t.Helper()
	done := make(chan struct{})
	l.post(eventFunc(func(time.Duration) { what(); close(done) }))
	testkit.Wait(t, done, "the loop")
}

// eventFunc is an event of a test.
type eventFunc func(now time.Duration)

func (f eventFunc) handle(_ *loop, now time.Duration) { f(now) }

// clientFunc is a client connection whose state a function tells.
type clientFunc func() bool

// ClientDisconnected implements clientConn.
func (f clientFunc) ClientDisconnected() bool { return f() }

// staysConnected is a client that does not disconnect.
func staysConnected() bool { return false }

func anyRequest() *upstream.Request {
	return &upstream.Request{
		Method: "POST", URL: &url.URL{Path: "/pay"}, Host: "x", Header: http.Header{}, Body: []byte("b"),
		ResponseReadTimeout: maxResponseRead,
	}
}

// ofClass makes a request as the frontend would.
func (l *loop) newRequest(class int, disconnected func() bool) *request {
	return &request{Request: *anyRequest(), class: class, deadline: l.clock() + time.Minute, client: clientFunc(disconnected)}
}

// open waits until the loop has so many requests with so many attempts out.
func (l *loop) open(t *testing.T, requests, out int) {
	t.Helper()
	for end := time.Now().Add(testkit.Patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		n, m := 0, 0
		l.then(t, func() {
			for _, r := range l.requests {
				n++
				m += r.inFlight
			}
		})
		if n == requests && m == out {
			return
		}
	}
	t.Fatalf("never %d requests with %d attempts", requests, out)
}

// sees waits until a connection shows something.
func sees(t *testing.T, nc net.Conn, want sockstate.State) {
	t.Helper()
	for end := time.Now().Add(testkit.Patience); sockstate.Peek(nc) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the connection shows %v, want %v", sockstate.Peek(nc), want)
		}
	}
}

// A pooled connection breaks as a request is written to it, its last byte included: one that
// must not run twice is not sent again, by nobody.
func TestResetUnderARequestOnAPooledConnection(t *testing.T) {
	var first atomic.Bool
	handle := func(w http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			testkit.OK(w, r)
			return
		}
		testkit.Reset(w, r)
	}
	a, b := testkit.NewBackend(t, handle), testkit.NewBackend(t, testkit.OK)
	l := loopWith(t, func(pool *upstream.Config) { pool.SettleDelay = 0 }, a.Endpoint("s-0"))
	if x, _ := l.submit(t.Context(), l.newRequest(2, staysConnected)); x.status != http.StatusOK {
		t.Fatalf("status %d", x.status)
	}
	testkit.Until(t, "the connection to be pooled", func() bool { return l.pool.Stats().Idle() == 1 })
	answered := make(chan response, 1)
	go func() { x, _ := l.submit(t.Context(), l.newRequest(2, staysConnected)); answered <- x }()
	l.UpdateEndpoints(policy.UpdateDelta, []endpoint.Endpoint{b.Endpoint("s-1")}) // another one could take it
	if x := testkit.Wait(t, answered, "an answer"); x.status != http.StatusBadGateway {
		t.Errorf("status %d", x.status)
	}
	l.open(t, 0, 0)
	if len(a.Requests) != 2 || len(b.Requests) != 0 {
		t.Errorf("%d and %d sends, want 2 and none", len(a.Requests), len(b.Requests))
	}
}

// An answer has half of its class's objective from its first byte to its last: a spoilt one on a
// deployment with short times would else take the time of the next attempt.
func TestSpoiltAnswerLeavesTimeForAnother(t *testing.T) {
	for objective, want := range map[int]time.Duration{60: 30 * time.Millisecond, 2000: maxResponseRead} {
		cfg := testConfig(t, testkit.NewRegistry(t), deadlines(objective*4/3))
		f := newHandler(cfg, loopOf(t), nil)
		n := &running{t: t, addr: "x"}
		q, err := f.parse(n.request("read"))
		if err != nil {
			t.Fatal(err)
		}
		if q.ResponseReadTimeout != want {
			t.Errorf("objective %d ms: %v, want %v", objective, q.ResponseReadTimeout, want)
		}
	}
}
