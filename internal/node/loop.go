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

// errClientDisconnected says that a request has no final response since nobody waits for one.
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
		clock:  clock,
		queue:  queue,
		starts: processstart.NewRegistry(clock.origin, cfg.Policy.Rules.SlowStartDuration),
		zones:  cfg.Zones,
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

// handle handles an event and those that host calls defer meanwhile. An event's time is when it is
// taken from the queue, not when it was sent.
func (l *loop) handle(next event) {
	for ; next != nil; next = l.queue.takeDeferred() {
		next.handle(l, l.clock.now())
	}
}

// submit has the balancer decide on a request and waits for its final response. The error is
// errClientDisconnected, also when ctx ends. Once the loop has ended nothing can be decided:
// the request is rejected if it was never forwarded, and has failed otherwise.
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
		return lastResponse(req)
	}
}

// lastResponse returns the final response to a request that was active as the loop ended.
func lastResponse(req *request) (response, error) {
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

// terminateAll has every active request completed and later ones, which were never
// forwarded, rejected at once.
func (l *loop) terminateAll() { l.queue.post(terminated{}) }

// arrive hands a new request to the balancer.
func (l *loop) arrive(now time.Duration, req *request) {
	req.arrive(l.requests.newID())
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

// disconnect completes a request whose client has disconnected: no final response is due any more.
func (l *loop) disconnect(now time.Duration, req *request) {
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

// receiveOutcome reports the outcome of an attempt. If it was not sent since its client had
// disconnected, the event of that has still to come.
func (l *loop) receiveOutcome(now time.Duration, req *request, index int, result upstream.Result) {
	if result.ClientDisconnected {
		l.disconnect(now, req)
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
	if !req.report(index, result.Status) {
		return
	}
	if result.Status == policy.OK {
		req.complete(completion{response: response{status: http.StatusOK, header: result.Header, body: result.Body}})
	}
	reported := req.attempts[index]
	l.balancer.Outcome(now, policy.Outcome{
		ID: req.id, Attempt: index, Server: reported.server, Status: result.Status,
		RequestCompleted: req.state != requestActive, Latency: now - reported.sentAt,
	})
	l.release(req)
}

// release forgets a request that is completed and has no attempt in flight.
func (l *loop) release(req *request) {
	if req.release() {
		l.requests.remove(req)
	}
}

// fireTimer hands a timer that the balancer requested back to it.
func (l *loop) fireTimer(now time.Duration, token uint64) { l.balancer.Timer(now, token) }

// updateEndpoints applies an update of the endpoint list. Attempts that must not reach their servers any
// more are revoked first. Their outcomes are reported after the update, so that the balancer sends their
// requests to servers of the new list.
func (l *loop) updateEndpoints(now time.Duration, update endpointsUpdated) {
	revoked := l.requests.revokeAttemptsAt(l.pool.UpdateEndpoints(update.kind, update.forPool))
	l.balancer.UpdateEndpoints(now, update.kind, update.forBalancer)
	for _, a := range revoked {
		l.reportOutcome(now, a.request, a.index, upstream.Result{Status: policy.NotSent})
	}
}

// failWatch has the balancer start a new watch before the changes that were missed count as notified.
func (l *loop) failWatch(now, notifiedAt time.Duration) { l.balancer.WatchFailed(now, notifiedAt) }

// terminate has the balancer complete every active request.
func (l *loop) terminate(now time.Duration) {
	l.terminated = true
	l.balancer.TerminateAll(now)
}
