package node

import (
	"net/http"
	"slices"
	"time"

	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

// The methods of policy.Host are called in the loop's goroutine, from within the balancer's
// methods. What they have to report back is deferred to after the present event.

// Send implements policy.Host.
func (l *loop) Send(id policy.RequestID, server policy.ServerID, timeout time.Duration) {
	req := l.requests[id]
	if req == nil {
		return
	}
	now := l.clock()
	started := &attempt{server: server, sentAt: now, call: upstream.NewCall(l.ctx, req.client.ClientDisconnected)}
	index := len(req.attempts)
	req.attempts = append(req.attempts, started)
	req.inFlight++
	if req.completed || index >= l.maxAttempts || now >= req.deadline {
		l.deferEvent(attemptEnded{req, index, upstream.Result{Status: policy.NotSent}})
		return
	}
	if timeout > 0 && now+timeout < req.deadline {
		started.timer = time.AfterFunc(timeout, func() {
			l.post(attemptEnded{req, index, upstream.Result{Status: policy.Timeout}})
		})
	}
	l.limitToKeyRetention(req, index)
	deadline := l.clockOrigin.Add(req.deadline)
	l.sends.Go(func() {
		result := l.pool.Send(started.call, server, &req.Request, deadline)
		l.post(attemptEnded{req, index, result})
	})
}

// limitToKeyRetention keeps a repeat of a request with an idempotency key from being written
// once servers may have forgotten the key. Retention counts from the first attempt that may
// have run. Which of the attempts in flight gets its connection first is open, so all of them
// get the same write deadline.
func (l *loop) limitToKeyRetention(req *request, index int) {
	class := &l.classes[req.class]
	first := slices.IndexFunc(req.attempts, func(a *attempt) bool { return !a.notExecuted })
	if class.Idempotency != policy.IdempotentWithKey || first >= index {
		return
	}
	end := l.clockOrigin.Add(req.attempts[first].sentAt + class.KeyRetention)
	for _, a := range req.attempts[first:] {
		a.call.SetWriteDeadline(end)
	}
	req.attempts[index].timer = time.AfterFunc(time.Until(end), func() { l.post(keyRetentionEnded{req, index}) })
}

// Cancel implements policy.Host.
func (l *loop) Cancel(id policy.RequestID, index int) {
	req := l.requests[id]
	if req == nil || index >= len(req.attempts) {
		return
	}
	l.deferEvent(attemptEnded{req, index, upstream.Result{Status: policy.Cancelled}})
}

// Reject implements policy.Host.
func (l *loop) Reject(id policy.RequestID, retryAfter time.Duration) {
	l.completeActive(id, response{status: http.StatusServiceUnavailable, retryAfter: retryAfter})
}

// Fail implements policy.Host.
func (l *loop) Fail(id policy.RequestID) {
	l.completeActive(id, response{status: http.StatusBadGateway})
}

// completeActive completes a request by the balancer's decision, unless it is completed.
func (l *loop) completeActive(id policy.RequestID, final response) {
	req := l.requests[id]
	if req == nil || req.completed {
		return
	}
	l.complete(req, completion{response: final})
	l.deferEvent(requestCompleted{req})
}

// SetTimer implements policy.Host.
func (l *loop) SetTimer(at time.Duration, token uint64) {
	time.AfterFunc(at-l.clock(), func() { l.post(timerFired{token}) })
}

// WatchEndpoints implements policy.Host.
func (l *loop) WatchEndpoints() { l.watcher.RequestWatch() }
