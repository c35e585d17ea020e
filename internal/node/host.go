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
	r := l.requests[id]
	if r == nil {
		return
	}
	now := l.clock()
	a := &attempt{server: server, sentAt: now, call: upstream.NewCall(l.ctx, r.client.ClientDisconnected)}
	index := len(r.attempts)
	r.attempts = append(r.attempts, a)
	r.inFlight++
	if r.completed || index >= l.maxAttempts || now >= r.deadline {
		l.deferEvent(attemptEnded{r, index, upstream.Result{Status: policy.NotSent}})
		return
	}
	if timeout > 0 && now+timeout < r.deadline {
		a.timer = time.AfterFunc(timeout, func() {
			l.post(attemptEnded{r, index, upstream.Result{Status: policy.Timeout}})
		})
	}
	l.limitToKeyRetention(r, index)
	l.sends.Go(func() {
		result := l.pool.Send(a.call, server, &r.Request, r.deadline-now)
		l.post(attemptEnded{r, index, result})
	})
}

// limitToKeyRetention keeps a repeat of a request with an idempotency key from being written
// once servers may have forgotten the key. Retention counts from the first attempt that may
// have run. Which of the attempts in flight gets its connection first is open, so all of them
// get the same write deadline.
func (l *loop) limitToKeyRetention(r *request, index int) {
	class := &l.classes[r.class]
	first := slices.IndexFunc(r.attempts, func(a *attempt) bool { return !a.neverRan })
	if class.Idempotency != policy.IdempotentWithKey || first >= index {
		return
	}
	end := l.clockOrigin.Add(r.attempts[first].sentAt + class.KeyRetention)
	for _, a := range r.attempts[first:] {
		a.call.SetWriteDeadline(end)
	}
	r.attempts[index].timer = time.AfterFunc(time.Until(end), func() { l.post(keyRetentionEnded{r, index}) })
}

// Cancel implements policy.Host.
func (l *loop) Cancel(id policy.RequestID, index int) {
	r := l.requests[id]
	if r == nil || index >= len(r.attempts) {
		return
	}
	l.deferEvent(attemptEnded{r, index, upstream.Result{Status: policy.Cancelled}})
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
	r := l.requests[id]
	if r == nil || r.completed {
		return
	}
	l.complete(r, completion{response: final})
	l.deferEvent(requestCompleted{r})
}

// SetTimer implements policy.Host.
func (l *loop) SetTimer(at time.Duration, token uint64) {
	time.AfterFunc(at-l.clock(), func() { l.post(timerFired{token}) })
}

// WatchEndpoints implements policy.Host.
func (l *loop) WatchEndpoints() { l.watcher.RequestWatch() }
