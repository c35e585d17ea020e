package node

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"testing"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

// testLoop is the loop of a node. It runs without the other components of the node, unless a test adds them.
type testLoop struct {
	*loop
	t *testing.T
}

// startLoop starts a testLoop with an endpoint list.
func startLoop(t *testing.T, list ...endpointjson.Endpoint) *testLoop {
	t.Helper()
	return startLoopWith(t, func(*upstream.Config) {}, list...)
}

// startLoopWith is startLoop with a change to the configuration of the pool.
func startLoopWith(t *testing.T, change func(*upstream.Config), list ...endpointjson.Endpoint) *testLoop {
	t.Helper()
	cfg := testConfig(t, testkit.NewFakeDiscovery(t), nil)
	pool := upstreamConfig(cfg, 20)
	change(&pool)
	l := newTestLoop(t, cfg, upstream.NewPool(pool), stubWatcher{})
	go l.run()
	l.reportEndpoints(policy.UpdateSnapshot, list...)
	return l
}

// stubWatcher is the watcher in tests without a discovery client. It ignores all requests for watches.
type stubWatcher struct{}

func (stubWatcher) RequestWatch() {}

// eventFunc is an event that calls a function of a test in the loop's goroutine.
type eventFunc func(now time.Duration)

func (f eventFunc) handle(_ *loop, now time.Duration) { f(now) }

// clientFunc is a client connection. The function reports whether the client has disconnected.
type clientFunc func() bool

// ClientDisconnected implements clientConn.
func (f clientFunc) ClientDisconnected() bool { return f() }

// neverDisconnected is the clientFunc of a client that does not disconnect.
func neverDisconnected() bool { return false }

// forwardedTestRequest returns a request in the form in which the handler forwards it to a server.
func forwardedTestRequest() *upstream.Request {
	return &upstream.Request{
		Method: "POST", URL: &url.URL{Path: "/pay"}, Host: "x", Header: http.Header{}, Body: []byte("b"),
		ResponseReadTimeout: maxResponseReadTimeout,
	}
}

// reportEndpoints reports an update of the endpoint list to the loop, as the discovery client does.
func (l *testLoop) reportEndpoints(kind policy.UpdateKind, list ...endpointjson.Endpoint) {
	l.endpoints.UpdateEndpoints(kind, endpoint.List{Endpoints: endpointjson.TranslateAll(list)})
	l.endpoints.Synced(time.Time{})
}

// newRequest returns a request in the form in which the handler submits it to the loop.
func (l *testLoop) newRequest(class int, disconnected func() bool) *request {
	return &request{
		Request: *forwardedTestRequest(), class: class, deadline: l.clock.now() + time.Minute,
		client: clientFunc(disconnected),
	}
}

// submitAsync submits a request and returns a channel that receives its response. If the request completes without a
// response, the channel receives the zero value.
func (l *testLoop) submitAsync(ctx context.Context, r *request) <-chan response {
	done := make(chan response, 1)
	go func() {
		final, _ := l.submit(ctx, r) // on an error the status is 0
		done <- final
	}()
	return done
}

// wantResponseStatus waits for the response to a submitted request and fails the test unless it has the wanted status.
func (l *testLoop) wantResponseStatus(done <-chan response, want int) {
	l.t.Helper()
	if final := testkit.Receive(l.t, done, "the response to a submitted request"); final.status != want {
		l.t.Errorf("submitted request: response with status %d, want %d", final.status, want)
	}
}

// runInLoop runs a function in the loop's goroutine, after the events that were posted before, and waits until it
// returns.
func (l *testLoop) runInLoop(run func()) {
	l.t.Helper()
	done := make(chan struct{})
	l.queue.post(eventFunc(func(time.Duration) { run(); close(done) }))
	testkit.Receive(l.t, done, "the loop to run a function")
}

// awaitInLoop waits until a condition holds. The condition is checked in the loop's goroutine.
func (l *testLoop) awaitInLoop(description string, holds func() bool) {
	l.t.Helper()
	testkit.WaitUntil(l.t, description, func() bool {
		held := false
		l.runInLoop(func() { held = holds() })
		return held
	})
}

// awaitRequests waits until the loop holds exactly the given numbers of requests and of attempts in flight.
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

// pausePoint is a queued event that blocks the loop until resume is called. The channel reached is closed when the loop
// handles the event.
type pausePoint struct {
	reached <-chan struct{}
	resume  func()
}

// queuePause posts an event that blocks the loop after it has handled the events that were posted before.
func (l *testLoop) queuePause() pausePoint {
	blocked, unblock := make(chan struct{}), make(chan struct{})
	resume := sync.OnceFunc(func() { close(unblock) })
	l.t.Cleanup(resume)
	l.queue.post(eventFunc(func(time.Duration) { close(blocked); <-unblock }))
	return pausePoint{blocked, resume}
}

// pause waits until the loop is blocked and returns the function that resumes it.
func (l *testLoop) pause() func() {
	l.t.Helper()
	point := l.queuePause()
	testkit.Receive(l.t, point.reached, "the loop to pause")
	return point.resume
}

// lastRequest returns the request that arrived last. The loop must be paused.
func (l *testLoop) lastRequest() *request { return l.requests.get(l.requests.lastID) }

// advanceClock moves the node's clock forward past every backoff and past the delay of a hedged request. It then fires
// a timer of the balancer, so that the balancer starts the attempts that are due. It must run in the loop's goroutine.
func (l *testLoop) advanceClock(time.Duration) {
	l.clock.origin = l.clock.origin.Add(-200 * time.Second)
	l.balancer.Timer(l.clock.now(), 0)
}

// countSentAttempts returns how many attempts of the requests have been sent. An attempt counts as sent once it may
// have written its first byte.
func countSentAttempts(requests ...*request) int {
	sent := 0
	for _, r := range requests {
		for _, a := range r.attempts {
			if a.call.Sent() {
				sent++
			}
		}
	}
	return sent
}
