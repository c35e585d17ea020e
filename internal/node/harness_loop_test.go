package node

import (
	"context"
	"fmt"
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

// testLoop is a node's loop and pool without handler and discovery.
type testLoop struct {
	*loop
	t *testing.T
}

// startLoop starts a testLoop with an endpoint list.
func startLoop(t *testing.T, list ...endpointjson.Endpoint) *testLoop {
	t.Helper()
	return startLoopWith(t, func(*upstream.Config) {}, list...)
}

// startLoopWith is startLoop with a changed configuration of the pool.
func startLoopWith(t *testing.T, change func(*upstream.Config), list ...endpointjson.Endpoint) *testLoop {
	t.Helper()
	cfg := testConfig(t, testkit.NewRegistry(t), nil)
	pool := upstreamConfig(cfg, 20)
	change(&pool)
	l := newTestLoop(t, cfg, upstream.NewPool(pool), noWatcher{})
	go l.run()
	l.reportEndpoints(policy.UpdateSnapshot, list...)
	return l
}

// noWatcher stands for discovery in a test that has none.
type noWatcher struct{}

func (noWatcher) RequestWatch() {}

// eventFunc is an event of a test.
type eventFunc func(now time.Duration)

func (f eventFunc) handle(_ *loop, now time.Duration) { f(now) }

// clientFunc is a client connection whose state a function returns.
type clientFunc func() bool

// ClientDisconnected implements clientConn.
func (f clientFunc) ClientDisconnected() bool { return f() }

// staysConnected is a client that does not disconnect.
func staysConnected() bool { return false }

// forwardedTestRequest returns a request as the handler forwards it.
func forwardedTestRequest() *upstream.Request {
	return &upstream.Request{
		Method: "POST", URL: &url.URL{Path: "/pay"}, Host: "x", Header: http.Header{}, Body: []byte("b"),
		ResponseReadTimeout: maxResponseReadTimeout,
	}
}

// reportEndpoints reports an endpoint update as the discovery client would.
func (l *testLoop) reportEndpoints(kind policy.UpdateKind, list ...endpointjson.Endpoint) {
	l.endpoints.UpdateEndpoints(kind, endpointjson.TranslateAll(list))
}

// newRequest makes a request as the handler would.
func (l *testLoop) newRequest(class int, disconnected func() bool) *request {
	return &request{
		Request: *forwardedTestRequest(), class: class, deadline: l.clock.now() + time.Minute,
		client: clientFunc(disconnected),
	}
}

// submitAsync submits a request and returns a channel, which gets the response, or an empty one if there is none.
func (l *testLoop) submitAsync(ctx context.Context, r *request) <-chan response {
	done := make(chan response, 1)
	go func() {
		final, _ := l.submit(ctx, r) // the status shows it
		done <- final
	}()
	return done
}

// wantStatus fails the test unless a request that was submitted gets a response with this status.
func (l *testLoop) wantStatus(done <-chan response, want int) {
	l.t.Helper()
	if final := testkit.Wait(l.t, done, "the response to a submitted request"); final.status != want {
		l.t.Errorf("submitted request: response with status %d, want %d", final.status, want)
	}
}

// runInLoop runs a function in the loop, after all events that were posted before.
func (l *testLoop) runInLoop(run func()) {
	l.t.Helper()
	done := make(chan struct{})
	l.queue.post(eventFunc(func(time.Duration) { run(); close(done) }))
	testkit.Wait(l.t, done, "the loop to run a function")
}

// awaitInLoop waits until a condition holds, which is checked in the loop.
func (l *testLoop) awaitInLoop(description string, holds func() bool) {
	l.t.Helper()
	testkit.Until(l.t, description, func() bool {
		held := false
		l.runInLoop(func() { held = holds() })
		return held
	})
}

// awaitRequests waits until the loop has the given numbers of requests and of attempts in flight.
func (l *testLoop) awaitRequests(requests, inFlight int) {
	l.t.Helper()
	description := fmt.Sprintf("%d requests with %d attempts in flight", requests, inFlight)
	l.awaitInLoop(description, func() bool {
		sum := 0
		for _, r := range l.requests.byID {
			sum += r.inFlight
		}
		return len(l.requests.byID) == requests && sum == inFlight
	})
}

// pausePoint is an event that blocks the loop, once it is reached, until it is resumed.
type pausePoint struct {
	reached <-chan struct{}
	resume  func()
}

// queuePause queues a pause behind the events that were posted before.
func (l *testLoop) queuePause() pausePoint {
	blocked, unblock := make(chan struct{}), make(chan struct{})
	resume := sync.OnceFunc(func() { close(unblock) })
	l.t.Cleanup(resume)
	l.queue.post(eventFunc(func(time.Duration) { close(blocked); <-unblock }))
	return pausePoint{blocked, resume}
}

// pause blocks the loop and returns the function that resumes it.
func (l *testLoop) pause() func() {
	l.t.Helper()
	point := l.queuePause()
	testkit.Wait(l.t, point.reached, "the loop to pause")
	return point.resume
}

// lastRequest returns the request that arrived last. The loop is paused.
func (l *testLoop) lastRequest() *request { return l.requests.get(l.requests.lastID) }

// advanceClock moves the clock past every backoff and the delay of a hedged request, and fires a timer of the
// balancer, so that it acts.
func (l *testLoop) advanceClock(time.Duration) {
	l.clock.origin = l.clock.origin.Add(-200 * time.Second)
	l.balancer.Timer(l.clock.now(), 0)
}

// countStartedAttempts counts the attempts whose first byte was released for writing.
func countStartedAttempts(requests ...*request) int {
	started := 0
	for _, r := range requests {
		for _, a := range r.attempts {
			if a.call.Started() {
				started++
			}
		}
	}
	return started
}
