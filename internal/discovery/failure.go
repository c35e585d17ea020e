package discovery

import (
	"context"
	"log/slog"
	"time"

	"calicohinge/policy"
)

// handleFailure handles a call that has failed, or that ends as the follower stops, and returns the next state.
func (f *follower) handleFailure(ctx context.Context, failed *call, err error) state {
	// An idle connection may be unresponsive by the time of the next call.
	f.client.httpClient.CloseIdleConnections()
	switch {
	case ctx.Err() != nil:
		return f.state // the follower stops; the call has not failed
	case f.client.polling:
		f.reportFailure(failed, err)
		return stateIdle
	default:
		f.delay = f.retryDelay(kindOf(err))
		f.logFailure(failed, err, "retry_in", f.delay)
		return statePausing
	}
}

// reportFailure reports a failed call to the handler, which requests the next one.
func (f *follower) reportFailure(failed *call, err error) {
	f.logFailure(failed, err)
	f.dropStaleWatchRequest()
	f.handler.WatchFailed(f.notifiedAt(failed.startedAt, time.Now()))
}

// notifiedAt returns when the node counts as notified of the changes that a failed call has missed.
func (f *follower) notifiedAt(startedAt, now time.Time) time.Time {
	callDeadline := startedAt.Add(policy.NotificationDeadline)
	listDeadline := f.deadlines.nextAfter(now)
	if f.initialListPending(now) && listDeadline.Before(callDeadline) {
		return listDeadline
	}
	return callDeadline
}

// dropStaleWatchRequest removes a watch request from before the failure. If it stayed, the next call would
// follow at once, and all nodes would call together.
func (f *follower) dropStaleWatchRequest() {
	select {
	case <-f.client.watchRequests:
	default:
	}
}

// retryDelay returns the delay after a failed call where lists are pushed. The deadlines leave no time for a
// backoff after an unresponsive watch, or before the initial list at a new address.
func (f *follower) retryDelay(kind ErrorKind) time.Duration {
	if kind == Unresponsive || f.initialListPending(time.Now()) {
		return jitter()
	}
	return f.backoff.next()
}

// logFailure logs a failed call with further attributes as for slog.Warn.
func (f *follower) logFailure(failed *call, err error, attributes ...any) {
	f.outage.add(failed)
	attributes = append([]any{
		"discovery_addr", f.address, // not "addr", by which the node's own address is found in the log
		"kind", kindOf(err).String(),
		"err", err,
		"phase", failed.progress.current().String(),
		"took", time.Since(failed.startedAt).Round(time.Millisecond),
		"generation", f.generation,
		"failures", f.outage.failures,
	}, attributes...)
	slog.Warn("endpoint watch failed", attributes...)
}
