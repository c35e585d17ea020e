package node

import (
	"net/http"
	"net/url"
	"sync"
	"testing"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/internal/testkit"
	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

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

// unwatched stands for discovery in a test that has none.
type unwatched struct{}

func (unwatched) RequestWatch() {}

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

// then runs in the loop, after all that was posted before.
func (l *loop) then(t *testing.T, what func()) {
	t.Helper()
	done := make(chan struct{})
	l.post(eventFunc(func(time.Duration) { what(); close(done) }))
	testkit.Wait(t, done, "the loop")
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

// hold queues an event that holds the loop up once it is reached, until it is released.
func (l *loop) hold(t *testing.T) (reached <-chan struct{}, release func()) {
	r, on := make(chan struct{}), make(chan struct{})
	release = sync.OnceFunc(func() { close(on) })
	t.Cleanup(release)
	l.post(eventFunc(func(time.Duration) { close(r); <-on }))
	return r, release
}

// due moves the clock on past every retry and to where a hedged request is due, and looks.
func (l *loop) due(time.Duration) {
	l.clockOrigin = l.clockOrigin.Add(-200 * time.Second)
	l.balancer.Timer(l.clock(), 0)
}

// begun counts the attempts of which a first byte went out.
func begun(requests ...*request) (n int) {
	for _, r := range requests {
		for _, a := range r.attempts {
			if a.call.Started() {
				n++
			}
		}
	}
	return n
}
