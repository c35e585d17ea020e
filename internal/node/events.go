package node

import (
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

// event is a message to the loop. handle runs in the loop's goroutine.
type event interface {
	handle(l *loop, now time.Duration)
}

// requestArrived is sent by submit.
type requestArrived struct{ request *request }

func (e requestArrived) handle(l *loop, now time.Duration) { l.start(now, e.request) }

// clientDisconnected is sent by submit when the context of the HTTP request ends.
type clientDisconnected struct{ request *request }

func (e clientDisconnected) handle(l *loop, now time.Duration) { l.disconnect(now, e.request) }

// deadlineExpired is sent by the timer of a request's deadline.
type deadlineExpired struct{ request *request }

func (e deadlineExpired) handle(l *loop, now time.Duration) { l.expire(now, e.request) }

// attemptEnded is sent by the goroutine that carries out an attempt and by the attempt's
// timer, and deferred by host calls that end one.
type attemptEnded struct {
	request *request
	index   int // of the attempt in the request
	result  upstream.Result
}

func (e attemptEnded) handle(l *loop, now time.Duration) {
	if e.result.ClientDisconnected {
		l.disconnect(now, e.request)
	}
	l.reportOutcome(now, e.request, e.index, e.result)
}

// keyRetentionEnded is sent by a timer when servers may have forgotten a request's
// idempotency key.
type keyRetentionEnded struct {
	request *request
	index   int // of the attempt that must not be sent any more
}

func (e keyRetentionEnded) handle(l *loop, now time.Duration) {
	if e.request.attempts[e.index].call.Revoke() {
		l.reportOutcome(now, e.request, e.index, upstream.Result{Status: policy.NotSent})
	}
}

// requestCompleted is deferred by the host calls that complete a request.
type requestCompleted struct{ request *request }

func (e requestCompleted) handle(l *loop, _ time.Duration) { l.release(e.request) }

// timerFired is sent by the timers that the balancer has requested.
type timerFired struct{ token uint64 }

func (e timerFired) handle(l *loop, now time.Duration) { l.balancer.Timer(now, e.token) }

// endpointsUpdated is sent by the discovery client.
type endpointsUpdated struct {
	kind   policy.UpdateKind
	usable []endpoint.Endpoint // for the pool
	policy []policy.Endpoint   // the same for the balancer
}

func (e endpointsUpdated) handle(l *loop, now time.Duration) {
	revoked := l.revokeUnsent(l.pool.UpdateEndpoints(e.kind != policy.UpdateDelta, e.usable))
	l.balancer.UpdateEndpoints(now, e.kind, e.policy)
	for _, a := range revoked {
		l.reportOutcome(now, a.request, a.index, upstream.Result{Status: policy.NotSent})
	}
}

// watchFailed is sent by the discovery client.
type watchFailed struct {
	notifiedAt time.Time // when changes that were missed count as notified
}

func (e watchFailed) handle(l *loop, now time.Duration) {
	l.balancer.WatchFailed(now, e.notifiedAt.Sub(l.clockOrigin))
}

// terminated is sent by terminateAll at the end of a graceful shutdown.
type terminated struct{}

func (terminated) handle(l *loop, now time.Duration) {
	l.terminated = true
	l.balancer.TerminateAll(now)
}
