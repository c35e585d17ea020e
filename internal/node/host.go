package node

import (
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

// policyHost implements policy.Host: it carries out the balancer's decisions. The balancer calls its methods in the
// loop's goroutine, from within its own methods. The methods of policyHost report results by deferred events, which the
// loop handles after the current event.
type policyHost struct {
	clock       *clock
	queue       *eventQueue
	requests    *requestTable
	pool        *upstream.Pool
	watcher     watcher
	newCall     func(clientDisconnected func() bool) *upstream.Call
	classes     []policy.Class
	maxAttempts int
	sync        *syncStatus
	sends       sync.WaitGroup // goroutines that carry out attempts
}

// watcher starts watches of the endpoint list.
type watcher interface{ RequestWatch() }

// Send implements policy.Host. It starts an attempt. The outcome is policy.StatusNotSent if the request has completed,
// has reached the maximum number of attempts or has passed its deadline.
func (h *policyHost) Send(id policy.RequestID, server policy.ServerID, timeout time.Duration) {
	req := h.requests.get(id)
	if req == nil {
		return
	}
	startedAt := h.clock.now()
	started := &attempt{server: server, startedAt: startedAt, call: h.newCall(req.client.ClientDisconnected)}
	index := req.startAttempt(started)
	if req.state != requestActive || index >= h.maxAttempts || startedAt >= req.deadline {
		h.queue.deferEvent(outcomeReceived{req, index, upstream.Result{Status: policy.StatusNotSent}})
		return
	}
	if timeout > 0 && startedAt+timeout < req.deadline {
		started.timer = time.AfterFunc(timeout, func() {
			h.queue.post(outcomeReceived{req, index, upstream.Result{Status: policy.StatusTimeout}})
		})
	}
	h.limitToKeyRetention(req, index)
	deadline := h.clock.toTime(req.deadline)
	req.Memory.Hold()
	h.sends.Go(func() {
		result := h.pool.Send(started.call, server, &req.Request, deadline)
		if !h.queue.post(attemptReturned{outcomeReceived{req, index, result}}) {
			req.Memory.Release()
		}
	})
}

// limitToKeyRetention prevents the attempts of a request with an idempotency key from reaching a server once servers may
// have discarded the key, if there is more than one. The retention of the key counts from the first attempt that may have
// been executed. That attempt or any later attempt may be the last one to reach its server, so the limit applies to all
// of them.
func (h *policyHost) limitToKeyRetention(req *request, index int) {
	class := &h.classes[req.class]
	first := slices.IndexFunc(req.attempts, func(a *attempt) bool { return a.state != attemptNotExecuted })
	isRetry := first < index
	if class.Idempotency != policy.IdempotentWithKey || !isRetry {
		return
	}
	retentionEnd := h.clock.toTime(req.attempts[first].startedAt + class.KeyRetention)
	for _, a := range req.attempts[first:] {
		a.call.SetWriteDeadline(retentionEnd)
	}
	req.startRetentionTimer(time.Until(retentionEnd), func() { h.queue.post(keyRetentionExpired{req}) })
}

// Cancel implements policy.Host.
func (h *policyHost) Cancel(id policy.RequestID, index int) {
	req := h.requests.get(id)
	if req == nil || index >= len(req.attempts) {
		return
	}
	h.queue.deferEvent(outcomeReceived{req, index, upstream.Result{Status: policy.StatusCancelled}})
}

// Reject implements policy.Host.
func (h *policyHost) Reject(id policy.RequestID, retryAfter time.Duration) {
	h.complete(id, response{status: http.StatusServiceUnavailable, retryAfter: retryAfter})
}

// Fail implements policy.Host.
func (h *policyHost) Fail(id policy.RequestID) {
	h.complete(id, response{status: http.StatusBadGateway})
}

// complete completes an active request with the final response that the balancer has decided on.
func (h *policyHost) complete(id policy.RequestID, final response) {
	req := h.requests.get(id)
	if req == nil || !req.complete(completion{response: final}) {
		return
	}
	h.queue.deferEvent(requestCompletedByHost{req})
}

// SetTimer implements policy.Host.
func (h *policyHost) SetTimer(at time.Duration, token uint64) {
	time.AfterFunc(at-h.clock.now(), func() { h.queue.post(timerFired{token}) })
}

// SetSyncState implements policy.Host.
func (h *policyHost) SetSyncState(state policy.SyncState) {
	h.sync.set(state)
	slog.Info("endpoint list sync", "state", state, "ready", h.sync.ready.Load(),
		"after", (h.clock.now() - clockOffset).Round(time.Millisecond))
}

// WatchEndpoints implements policy.Host.
func (h *policyHost) WatchEndpoints() { h.watcher.RequestWatch() }
