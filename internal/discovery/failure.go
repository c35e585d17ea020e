package discovery

import (
	"context"
	"log/slog"
	"time"
)

// handleFailure handles a call that failed, or that ended because the follower stops, and returns the next state.
func (f *follower) handleFailure(ctx context.Context, failed *call, err error) state {
	// The next call opens a new connection, because an idle connection may have become unresponsive by then.
	f.client.httpClient.CloseIdleConnections()
	switch {
	case ctx.Err() != nil:
		return f.state // the follower stops; this is not a failure
	case f.client.polling:
		f.logFailure(failed, err)
		f.dropStaleWatchRequest()
		f.reportFailure(failed, err)
		return stateIdle
	default:
		f.delay = f.retryDelay(kindOf(err))
		f.logFailure(failed, err, "retry_in", f.delay)
		f.reportFailure(failed, err)
		return statePausing
	}
}

// reportFailure reports a failed call to the handler, which is responsible for requesting the next one in polling mode.
func (f *follower) reportFailure(failed *call, err error) {
	failure := f.deadlines.failure(failed.startedAt, time.Now())
	failure.First = f.outage.failures == 1
	failure.Kind = kindOf(err)
	f.handler.WatchFailed(failure)
}

// dropStaleWatchRequest discards a watch request that was made before the failure. Otherwise the next call would be
// made immediately, and all nodes would call at the same time.
func (f *follower) dropStaleWatchRequest() {
	select {
	case <-f.client.watchRequests:
	default:
	}
}

// retryDelay returns the delay after a failed call in push mode. After an unresponsive watch, and while the initial
// list at a new address is pending, the deadlines leave no time for a backoff.
func (f *follower) retryDelay(kind ErrorKind) time.Duration {
	if kind == Unresponsive || f.deadlines.initialListPending(time.Now()) {
		return jitter()
	}
	return f.backoff.next()
}

// logFailure logs a failed call. It appends attributes, given as for slog.Warn, to those of every failure.
func (f *follower) logFailure(failed *call, err error, attributes ...any) {
	f.outage.add(failed)
	attributes = append([]any{
		"discovery_addr", f.address, // not "addr", which is the node's own address in log messages
		"kind", kindOf(err).String(),
		"err", err,
		"phase", failed.progress.current().String(),
		"took", time.Since(failed.startedAt).Round(time.Millisecond),
		"generation", f.generation,
		"failures", f.outage.failures,
	}, attributes...)
	slog.Warn("endpoint watch failed", attributes...)
}
