package node

import (
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

// event is an event for the loop. The loop calls handle in its goroutine. Each implementation only calls the method of
// loop for its type of event.
type event interface {
	handle(l *loop, now time.Duration)
}

// requestArrived is posted by loop.submit.
type requestArrived struct {
	request     *request
	submittedAt time.Duration // time on the node's clock
}

func (e requestArrived) handle(l *loop, now time.Duration) {
	l.delays.event.observe(now - e.submittedAt)
	l.addRequest(now, e.request)
}

// clientDisconnected is posted by loop.submit when the context of the HTTP request ends.
type clientDisconnected struct{ request *request }

func (e clientDisconnected) handle(l *loop, now time.Duration) {
	l.completeDisconnected(now, e.request)
}

// deadlineExpired is posted by the timer for a request's deadline.
type deadlineExpired struct{ request *request }

func (e deadlineExpired) handle(l *loop, now time.Duration) { l.expireDeadline(now, e.request) }

// outcomeReceived is posted by an attempt's timer. It is deferred by policyHost.Cancel, and by policyHost.Send for an
// attempt that must not be sent. Its result has no body.
type outcomeReceived struct {
	request *request
	index   int // index in request.attempts
	result  upstream.Result
}

func (e outcomeReceived) handle(l *loop, now time.Duration) {
	l.receiveOutcome(now, e.request, e.index, e.result)
}

// attemptReturned is posted by the goroutine that has carried out an attempt. The result may hold a response, so the event
// is a holder of the request's memory.
type attemptReturned struct{ outcome outcomeReceived }

func (e attemptReturned) handle(l *loop, now time.Duration) {
	defer e.outcome.request.Memory.Release()
	e.outcome.handle(l, now)
}

// keyRetentionExpired is posted by a request's timer when servers may have discarded its idempotency key.
type keyRetentionExpired struct{ request *request }

func (e keyRetentionExpired) handle(l *loop, now time.Duration) { l.expireKeyRetention(now, e.request) }

// requestCompletedByHost is deferred by policyHost.Reject and policyHost.Fail.
type requestCompletedByHost struct{ request *request }

func (e requestCompletedByHost) handle(l *loop, _ time.Duration) { l.release(e.request) }

// timerFired is posted by a timer that the balancer has requested.
type timerFired struct{ token uint64 }

func (e timerFired) handle(l *loop, now time.Duration) { l.fireTimer(now, e.token) }

// endpointsUpdated is posted by discoveryHandler.UpdateEndpoints.
type endpointsUpdated struct {
	kind        policy.UpdateKind
	forPool     []endpoint.Endpoint
	forBalancer []policy.Endpoint // the same endpoints, converted for the balancer
}

func (e endpointsUpdated) handle(l *loop, now time.Duration) { l.updateEndpoints(now, e) }

// endpointsSynced is posted by discoveryHandler.Synced.
type endpointsSynced struct{}

func (endpointsSynced) handle(l *loop, now time.Duration) { l.balancer.EndpointsSynced(now) }

// discoveryConnected is posted by discoveryHandler.Connected.
type discoveryConnected struct{}

func (discoveryConnected) handle(l *loop, now time.Duration) { l.balancer.DiscoveryConnected(now) }

// watchFailed is posted by discoveryHandler.WatchFailed.
type watchFailed struct{ failure policy.WatchFailure }

func (e watchFailed) handle(l *loop, now time.Duration) { l.reportWatchFailure(now, e.failure) }

// terminationRequested is posted by loop.terminateAll near the end of a graceful shutdown.
type terminationRequested struct{}

func (terminationRequested) handle(l *loop, now time.Duration) { l.terminate(now) }
