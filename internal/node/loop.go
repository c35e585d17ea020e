package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"calicohinge/internal/config"
	"calicohinge/internal/processstart"
	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

// errClientDisconnected is returned in place of a final response if the client has disconnected.
var errClientDisconnected = errors.New("client disconnected")

// loop is the event loop that drives the balancer. Its goroutine handles events one at a time, and only this
// goroutine calls the balancer. HTTP handlers submit requests from other goroutines.
type loop struct {
	clock      *clock
	queue      *eventQueue
	endpoints  *discoveryHandler
	pool       *upstream.Pool
	retryAfter time.Duration // value of Retry-After in rejections after termination
	delays     requestDelays
	sync       *syncStatus

	// The fields below are used only in run's goroutine.
	balancer   *policy.Balancer
	host       *policyHost
	requests   *requestTable
	terminated bool // whether terminate was called, so that new requests are rejected at once
}

// newLoop returns a loop. The loop and all its attempts end with ctx.
func newLoop(ctx context.Context, cfg *config.Config, pool *upstream.Pool, watcher watcher) (*loop, error) {
	clock, queue, requests := newClock(), newEventQueue(ctx.Done()), newRequestTable()
	host := &policyHost{
		clock:    clock,
		queue:    queue,
		requests: requests,
		pool:     pool,
		watcher:  watcher,
		sync:     &syncStatus{},
		newCall: func(clientDisconnected func() bool) *upstream.Call {
			return upstream.NewCall(ctx, clientDisconnected)
		},
		classes:     cfg.Policy.Classes,
		maxAttempts: cfg.Policy.Limits.MaxAttempts,
	}
	balancer, err := policy.New(cfg.Policy, cfg.Seed, host)
	if err != nil {
		return nil, err
	}
	balancer.StartSync(clock.now())
	endpoints := &discoveryHandler{
		clock:         clock,
		queue:         queue,
		processStarts: processstart.NewRegistry(clock.origin, cfg.Policy.Rules.SlowStartDuration),
		addresses:     newAddressTable(),
		zones:         cfg.Zones,
	}
	return &loop{
		clock:      clock,
		queue:      queue,
		endpoints:  endpoints,
		pool:       pool,
		retryAfter: cfg.Policy.Limits.MaxRetryAfter,
		balancer:   balancer,
		host:       host,
		requests:   requests,
		sync:       host.sync,
	}, nil
}

// run handles events until the loop's context ends. It returns once the goroutines of all attempts have ended.
func (l *loop) run() {
	defer l.host.sends.Wait()
	for {
		select {
		case <-l.queue.done:
			return
		case next := <-l.queue.posted:
			l.handle(next)
		}
	}
}

// handle handles an event and then all events that policyHost has deferred. Each event is handled with the time at
// which its handling starts, not the time at which it was posted or deferred.
func (l *loop) handle(next event) {
	for ; next != nil; next = l.queue.popDeferred() {
		next.handle(l, l.clock.now())
	}
}

// submit passes a request to the balancer and waits for its final response. It returns errClientDisconnected if the
// client disconnects, which the end of ctx signals; the response then only tells whether the request was forwarded. Once the loop has ended, the balancer makes no more decisions: a
// new request is rejected, and a request that was active gets responseAfterLoopEnd.
func (l *loop) submit(ctx context.Context, req *request) (response, error) {
	req.completion = make(chan completion, 1)
	req.Memory.Hold()
	submittedAt := l.clock.now()
	if !l.queue.post(requestArrived{req, submittedAt}) {
		req.Memory.Release()
		return l.terminationResponse(), nil
	}
	select {
	case final := <-req.completion:
		l.delays.response.observe(time.Since(final.decidedAt))
		return final.response, final.err
	case <-ctx.Done():
		l.queue.post(clientDisconnected{req})
		return l.awaitDisconnected(req), errClientDisconnected
	case <-l.queue.done:
		return responseAfterLoopEnd(req)
	}
}

// awaitDisconnected waits until the loop has completed a request whose client has disconnected. The response tells whether
// a server may have received the request; nobody reads it.
func (l *loop) awaitDisconnected(req *request) response {
	select {
	case final := <-req.completion:
		return final.response
	case <-l.queue.done:
		unread, _ := responseAfterLoopEnd(req) // the client has disconnected in any case
		return unread
	}
}

// responseAfterLoopEnd returns the result of a request that was active when the loop ended. A request that had not
// completed by then fails.
func responseAfterLoopEnd(req *request) (response, error) {
	select {
	case final := <-req.completion:
		return final.response, final.err
	default:
		return response{status: http.StatusBadGateway, forwarded: true}, nil
	}
}

// terminationResponse returns the rejection of a request that arrives after termination.
func (l *loop) terminationResponse() response {
	return response{status: http.StatusServiceUnavailable, retryAfter: l.retryAfter}
}

// terminateAll makes the loop terminate every active request. Requests that arrive later are rejected at once, without
// an attempt.
func (l *loop) terminateAll() { l.queue.post(terminationRequested{}) }

// addRequest activates a new request and passes it to the balancer. After termination it rejects the request instead.
func (l *loop) addRequest(now time.Duration, req *request) {
	req.activate(l.requests.newID())
	if l.terminated {
		req.complete(completion{response: l.terminationResponse()})
		req.Memory.Release()
		return
	}
	l.requests.add(req)
	timeout := max(0, req.deadline-now)
	req.deadlineTimer = time.AfterFunc(timeout, func() { l.queue.post(deadlineExpired{req}) })
	l.balancer.Request(now, policy.Request{
		ID: req.id, Class: req.class, Tenant: req.tenant, Timeout: timeout, CostHint: req.costHint,
	})
	l.release(req)
}

// completeDisconnected completes an active request whose client has disconnected, without a final response.
func (l *loop) completeDisconnected(now time.Duration, req *request) {
	if !req.complete(completion{err: errClientDisconnected}) {
		return
	}
	l.balancer.ClientDisconnected(now, req.id)
	l.release(req)
}

// expireDeadline reports a timeout for each attempt in flight at the request's deadline. The balancer then completes
// the request.
func (l *loop) expireDeadline(now time.Duration, req *request) {
	for index := range req.attempts {
		l.reportOutcome(now, req, index, upstream.Result{Status: policy.StatusTimeout})
	}
}

// receiveOutcome reports the outcome of an attempt. If the attempt was not sent because the client had disconnected,
// the clientDisconnected event may still be queued. The request is therefore completed before the outcome is reported.
func (l *loop) receiveOutcome(now time.Duration, req *request, index int, result upstream.Result) {
	if result.ClientDisconnected {
		l.completeDisconnected(now, req)
	}
	l.reportOutcome(now, req, index, result)
}

// expireKeyRetention ends the effect of all attempts on servers that may have discarded the idempotency key: it revokes
// those that still wait for a connection. If more than one other attempt may be executed, it withdraws those that have
// not reached their servers as a whole.
func (l *loop) expireKeyRetention(now time.Duration, req *request) {
	for index, a := range req.attempts {
		if a.state == attemptInFlight && a.revoke() {
			l.reportOutcome(now, req, index, upstream.Result{Status: policy.StatusNotSent})
		}
	}
	if req.countPossiblyExecuted() < 2 {
		return
	}
	for _, a := range req.attempts {
		if a.state == attemptInFlight {
			a.call.WithdrawUndelivered()
		}
	}
}

// reportOutcome reports the first outcome of an attempt to the balancer and ignores later outcomes. A successful
// outcome completes the request.
func (l *loop) reportOutcome(now time.Duration, req *request, index int, result upstream.Result) {
	if !req.endAttempt(index, result.Status) {
		return
	}
	if result.Status == policy.StatusOK {
		req.complete(completion{response: response{status: http.StatusOK, header: result.Header, body: result.Body}})
	}
	reported := req.attempts[index]
	l.balancer.Outcome(now, policy.Outcome{
		ID: req.id, Attempt: index, Server: reported.server, Status: result.Status,
		RequestCompleted: req.state != requestActive, Latency: now - reported.startedAt,
	})
	l.release(req)
}

// release releases a request if it has completed and has no attempt in flight.
func (l *loop) release(req *request) {
	if req.release() {
		l.requests.remove(req)
		req.Memory.Release()
	}
}

// fireTimer reports to the balancer that the timer which it requested with the given token has fired.
func (l *loop) fireTimer(now time.Duration, token uint64) { l.balancer.Timer(now, token) }

// updateEndpoints applies an update of the endpoint list. The pool is updated before the balancer, so that it has
// the address of each server that the balancer selects. Attempts that must no longer reach their servers are revoked
// before the balancer is updated, but their outcomes are reported afterwards, so that retries use the new list.
func (l *loop) updateEndpoints(now time.Duration, update endpointsUpdated) {
	revoked := l.requests.revokeAttemptsTo(l.pool.UpdateEndpoints(update.kind, update.forPool))
	l.balancer.UpdateEndpoints(now, update.kind, update.forBalancer)
	for _, a := range revoked {
		l.reportOutcome(now, a.request, a.index, upstream.Result{Status: policy.StatusNotSent})
	}
}

// reportWatchFailure reports a failed watch to the balancer, which requests the next one.
func (l *loop) reportWatchFailure(now time.Duration, failure policy.WatchFailure) {
	l.balancer.WatchFailed(now, failure)
}

// terminate makes the balancer complete every active request, and rejects later requests.
func (l *loop) terminate(now time.Duration) {
	l.terminated = true
	l.balancer.TerminateAll(now)
}
