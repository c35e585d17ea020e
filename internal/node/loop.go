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

// errClientDisconnected says that a request has no final response because its client has disconnected.
var errClientDisconnected = errors.New("client disconnected")

// loop drives the balancer: its goroutine handles one event after the other, and nothing else calls the
// balancer. Handlers of HTTP requests submit theirs from other goroutines.
type loop struct {
	clock      *clock
	queue      *eventQueue
	endpoints  *discoveryHandler
	pool       *upstream.Pool
	retryAfter time.Duration // sent with rejections by a node that has terminated all requests

	// Only the goroutine of run uses the fields below.
	balancer   *policy.Balancer
	host       *policyHost
	requests   *requestTable
	terminated bool // new requests are rejected
}

// newLoop returns a loop that ends with ctx, as do all attempts.
func newLoop(ctx context.Context, cfg *config.Config, pool *upstream.Pool, watcher watcher) (*loop, error) {
	clock, queue, requests := newClock(), newEventQueue(ctx.Done()), newRequestTable()
	host := &policyHost{
		clock:    clock,
		queue:    queue,
		requests: requests,
		pool:     pool,
		watcher:  watcher,
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
	endpoints := &discoveryHandler{
		clock:         clock,
		queue:         queue,
		processStarts: processstart.NewRegistry(clock.origin, cfg.Policy.Rules.SlowStartDuration),
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
	}, nil
}

// run handles events until the loop's context ends, and returns when no attempt is being carried
// out any more.
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

// handle handles an event and those that policyHost defers meanwhile. The time of an event is when the loop
// takes it from the queue, not when it was posted.
func (l *loop) handle(next event) {
	for ; next != nil; next = l.queue.popDeferred() {
		next.handle(l, l.clock.now())
	}
}

// submit passes a request to the balancer and waits for its final response. The error is
// errClientDisconnected, also when ctx ends. The balancer decides nothing once the loop has ended: a request
// that comes later is rejected, and one that was active then gets responseAfterLoopEnd.
func (l *loop) submit(ctx context.Context, req *request) (response, error) {
	req.completion = make(chan completion, 1)
	if !l.queue.post(requestArrived{req}) {
		return l.terminationResponse(), nil
	}
	select {
	case final := <-req.completion:
		return final.response, final.err
	case <-ctx.Done():
		l.queue.post(clientDisconnected{req})
		return response{}, errClientDisconnected
	case <-l.queue.done:
		return responseAfterLoopEnd(req)
	}
}

// responseAfterLoopEnd returns the final response to a request that was active as the loop ended. Without a
// decision of the balancer, the request has failed.
func responseAfterLoopEnd(req *request) (response, error) {
	select {
	case final := <-req.completion:
		return final.response, final.err
	default:
		return response{status: http.StatusBadGateway}, nil
	}
}

// terminationResponse is the response to a request that arrives after termination.
func (l *loop) terminationResponse() response {
	return response{status: http.StatusServiceUnavailable, retryAfter: l.retryAfter}
}

// terminateAll makes the balancer complete every active request. Later requests are rejected at once, before
// any attempt.
func (l *loop) terminateAll() { l.queue.post(terminationRequested{}) }

// addRequest passes a new request to the balancer, or rejects it after termination.
func (l *loop) addRequest(now time.Duration, req *request) {
	req.activate(l.requests.newID())
	if l.terminated {
		req.complete(completion{response: l.terminationResponse()})
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

// completeDisconnected completes a request whose client has disconnected: no final response is due any more.
func (l *loop) completeDisconnected(now time.Duration, req *request) {
	if !req.complete(completion{err: errClientDisconnected}) {
		return
	}
	l.balancer.ClientDisconnected(now, req.id)
	l.release(req)
}

// expireDeadline reports the attempts that are in flight at the request's deadline as timed out. The
// balancer completes the request then.
func (l *loop) expireDeadline(now time.Duration, req *request) {
	for index := range req.attempts {
		l.reportOutcome(now, req, index, upstream.Result{Status: policy.Timeout})
	}
}

// receiveOutcome reports the outcome of an attempt. If the attempt was not sent because its client had
// disconnected, the loop has not handled clientDisconnected yet: the request is completed first.
func (l *loop) receiveOutcome(now time.Duration, req *request, index int, result upstream.Result) {
	if result.ClientDisconnected {
		l.completeDisconnected(now, req)
	}
	l.reportOutcome(now, req, index, result)
}

// expireKeyRetention revokes an attempt that is still waiting for its connection.
func (l *loop) expireKeyRetention(now time.Duration, req *request, index int) {
	if req.attempts[index].revoke() {
		l.reportOutcome(now, req, index, upstream.Result{Status: policy.NotSent})
	}
}

// reportOutcome reports the first outcome of an attempt to the balancer; later ones are dropped.
func (l *loop) reportOutcome(now time.Duration, req *request, index int, result upstream.Result) {
	if !req.endAttempt(index, result.Status) {
		return
	}
	if result.Status == policy.OK {
		req.complete(completion{response: response{status: http.StatusOK, header: result.Header, body: result.Body}})
	}
	reported := req.attempts[index]
	l.balancer.Outcome(now, policy.Outcome{
		ID: req.id, Attempt: index, Server: reported.server, Status: result.Status,
		RequestCompleted: req.state != requestActive, Latency: now - reported.startedAt,
	})
	l.release(req)
}

// release forgets a request that is completed and has no attempt in flight.
func (l *loop) release(req *request) {
	if req.release() {
		l.requests.remove(req)
	}
}

// fireTimer passes the token of a timer that has fired to the balancer, which requested it.
func (l *loop) fireTimer(now time.Duration, token uint64) { l.balancer.Timer(now, token) }

// updateEndpoints applies an update of the endpoint list. The pool learns the servers' addresses before the
// balancer learns of the servers. Attempts that must no longer reach their servers are revoked first. The loop
// reports their outcomes after the update, so that the balancer sends their requests
// to servers of the new list.
func (l *loop) updateEndpoints(now time.Duration, update endpointsUpdated) {
	revoked := l.requests.revokeAttemptsTo(l.pool.UpdateEndpoints(update.kind, update.forPool))
	l.balancer.UpdateEndpoints(now, update.kind, update.forBalancer)
	for _, a := range revoked {
		l.reportOutcome(now, a.request, a.index, upstream.Result{Status: policy.NotSent})
	}
}

// reportWatchFailure reports a failed watch. The balancer requests another one before the node counts as
// notified of the changes that it has missed.
func (l *loop) reportWatchFailure(now, notifiedAt time.Duration) {
	l.balancer.WatchFailed(now, notifiedAt)
}

// terminate makes the balancer complete every active request, and rejects later ones.
func (l *loop) terminate(now time.Duration) {
	l.terminated = true
	l.balancer.TerminateAll(now)
}
