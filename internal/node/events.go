package node

import (
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

// event is a message to the loop. handle runs in the loop's goroutine and calls the one method of loop that
// handles this kind of event.
type event interface {
	handle(l *loop, now time.Duration)
}

// requestArrived is sent by submit.
type requestArrived struct{ request *request }

func (e requestArrived) handle(l *loop, now time.Duration) { l.addRequest(now, e.request) }

// clientDisconnected is sent by submit when the context of the HTTP request ends.
type clientDisconnected struct{ request *request }

func (e clientDisconnected) handle(l *loop, now time.Duration) {
	l.completeDisconnected(now, e.request)
}

// deadlineExpired is sent by the timer of a request's deadline.
type deadlineExpired struct{ request *request }

func (e deadlineExpired) handle(l *loop, now time.Duration) { l.expireDeadline(now, e.request) }

// outcomeReceived is sent by the goroutine that carries out an attempt and by the attempt's timer. It is
// deferred by policyHost.Cancel, and by policyHost.Send if the attempt is not sent.
type outcomeReceived struct {
	request *request
	index   int // of the attempt in the request
	result  upstream.Result
}

func (e outcomeReceived) handle(l *loop, now time.Duration) {
	l.receiveOutcome(now, e.request, e.index, e.result)
}

// keyRetentionExpired is sent by a timer when servers may have forgotten a request's
// idempotency key.
type keyRetentionExpired struct {
	request *request
	index   int // of the attempt that must not be sent any more
}

func (e keyRetentionExpired) handle(l *loop, now time.Duration) {
	l.expireKeyRetention(now, e.request, e.index)
}

// requestCompletedByHost is deferred by policyHost.Reject and policyHost.Fail.
type requestCompletedByHost struct{ request *request }

func (e requestCompletedByHost) handle(l *loop, _ time.Duration) { l.release(e.request) }

// timerFired is sent by the timers that the balancer has requested.
type timerFired struct{ token uint64 }

func (e timerFired) handle(l *loop, now time.Duration) { l.fireTimer(now, e.token) }

// endpointsUpdated is sent by the discovery client.
type endpointsUpdated struct {
	kind        policy.UpdateKind
	forPool     []endpoint.Endpoint
	forBalancer []policy.Endpoint // the same endpoints, in the balancer's terms
}

func (e endpointsUpdated) handle(l *loop, now time.Duration) { l.updateEndpoints(now, e) }

// watchFailed is sent by the discovery client.
type watchFailed struct {
	notifiedAt time.Duration // on the node's clock: when the node counts as notified of missed changes
}

func (e watchFailed) handle(l *loop, now time.Duration) { l.reportWatchFailure(now, e.notifiedAt) }

// terminationRequested is sent by terminateAll near the end of a graceful shutdown.
type terminationRequested struct{}

func (terminationRequested) handle(l *loop, now time.Duration) { l.terminate(now) }
