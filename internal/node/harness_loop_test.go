package node

import (
	"context"
	"net/http"
	"net/url"
	"sync"
	"testing"
	"time"

	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

// startLoop starts a node's loop and pool without handler and discovery, with an endpoint list.
func startLoop(t *testing.T, list ...endpointjson.Endpoint) *loop {
	t.Helper()
	return startLoopWith(t, func(*upstream.Config) {}, list...)
}

// startLoopWith does the same with another configuration of the pool.
func startLoopWith(t *testing.T, change func(*upstream.Config), list ...endpointjson.Endpoint) *loop {
	t.Helper()
	cfg := testConfig(t, testkit.NewRegistry(t), nil)
	pool := upstreamConfig(cfg, 20)
	change(&pool)
	l, err := newLoop(t.Context(), cfg, upstream.NewPool(pool), noWatcher{})
	if err != nil {
		t.Fatal(err)
	}
	go l.run()
	l.endpoints.UpdateEndpoints(policy.UpdateSnapshot, endpointjson.TranslateAll(list))
	return l
}

// noWatcher stands for discovery in a test that has none.
type noWatcher struct{}

func (noWatcher) RequestWatch() {}

// eventFunc is an event of a test.
type eventFunc func(now time.Duration)

func (f eventFunc) handle(_ *loop, now time.Duration) { f(now) }

// clientFunc is a client connection whose state a function tells.
type clientFunc func() bool

// ClientDisconnected implements clientConn.
func (f clientFunc) ClientDisconnected() bool { return f() }

// staysConnected is a client that does not disconnect.
func staysConnected() bool { return false }

func forwardedTestRequest() *upstream.Request {
	return &upstream.Request{
		Method: "POST", URL: &url.URL{Path: "/pay"}, Host: "x", Header: http.Header{}, Body: []byte("b"),
		ResponseReadTimeout: maxResponseRead,
	}
}

// newRequest makes a request as the handler would.
func (l *loop) newRequest(class int, disconnected func() bool) *request {
	return &request{Request: *forwardedTestRequest(), class: class, deadline: l.clock.now() + time.Minute, client: clientFunc(disconnected)}
}

// inLoop runs a function in the loop, after all events that were posted before.
func (l *loop) inLoop(t *testing.T, what func()) {
	t.Helper()
	done := make(chan struct{})
	l.queue.post(eventFunc(func(time.Duration) { what(); close(done) }))
	testkit.Wait(t, done, "the loop")
}

// awaitRequests waits until the loop has so many requests with so many attempts in flight.
func (l *loop) awaitRequests(t *testing.T, requests, inFlight int) {
	t.Helper()
	for end := time.Now().Add(testkit.WaitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		n, m := 0, 0
		l.inLoop(t, func() {
			for _, r := range l.requests.active {
				n++
				m += r.inFlight
			}
		})
		if n == requests && m == inFlight {
			return
		}
	}
	t.Fatalf("never %d requests with %d attempts in flight", requests, inFlight)
}

// pause queues an event that blocks the loop once it is reached, until it is resumed.
func (l *loop) pause(t *testing.T) (reached <-chan struct{}, resume func()) {
	blocked, unblock := make(chan struct{}), make(chan struct{})
	resume = sync.OnceFunc(func() { close(unblock) })
	t.Cleanup(resume)
	l.queue.post(eventFunc(func(time.Duration) { close(blocked); <-unblock }))
	return blocked, resume
}

// advanceClock moves the clock past every backoff and the delay of a hedged request, and has the
// balancer act on it.
func (l *loop) advanceClock(time.Duration) {
	l.clock.origin = l.clock.origin.Add(-200 * time.Second)
	l.balancer.Timer(l.clock.now(), 0)
}

// startedAttempts counts the attempts whose first byte was released for writing.
func startedAttempts(requests ...*request) (n int) {
	for _, r := range requests {
		for _, a := range r.attempts {
			if a.call.Started() {
				n++
			}
		}
	}
	return n
}

// submitAsync submits a request; the channel gets its response, an empty one if there is none.
func (l *loop) submitAsync(ctx context.Context, r *request) <-chan response {
	done := make(chan response, 1)
	go func() {
		final, _ := l.submit(ctx, r) // the status shows it
		done <- final
	}()
	return done
}
