package discovery

import (
	"context"
	"time"

	"calicohinge/policy"
)

// A watch is a long poll and may become unresponsive as soon as it starts. The node counts as notified of the
// changes that such a watch misses when policy.NotificationDeadline has passed since the start of the watch.
// Within that time the client has to detect the failure and to make another call. Half of the time is for the
// watch to wait, a quarter for its response to be late, and a quarter remains for the other call.
const (
	// watchWait is how long a watch asks the discovery service to wait for a change.
	watchWait = policy.NotificationDeadline / 2
	// watchResponseMargin is how late the response to a watch may arrive.
	watchResponseMargin = policy.NotificationDeadline / 4
	// responseTimeout is the response timeout of a watch: how long the client waits before it makes another call.
	// It also applies to a call for a snapshot: if the nodes retried sooner, a slow service would never catch up.
	responseTimeout = watchWait + watchResponseMargin
	// confirmationWait is how long a call asks the discovery service to wait for a change that is to confirm the cached
	// list: the shortest wait, so that the response comes at once.
	confirmationWait = time.Millisecond
	// initialListResponseTimeout is the response timeout of a call for the initial list at a new address. It leaves
	// time for a second call before the deadline of that list.
	initialListResponseTimeout = addressChangeDeadline / 2
)

// nextQuery returns the query of the next call: a query for a snapshot if there is no list, a query for changes to the
// cached list in push mode until a call has returned a list, or a watch for changes to the current list.
func (f *follower) nextQuery() query {
	switch {
	case !f.haveList:
		return snapshotQuery(f.address)
	case f.unconfirmed:
		return watchQuery(f.address, f.generation, confirmationWait)
	}
	return watchQuery(f.address, f.generation, watchWait)
}

// fetch makes the next call and waits until that call fails, or until it or an earlier call returns a list from
// the current address. It returns the call that returned the list, or the failed call and its error, which is an
// *Error or the error of ctx. It applies lists from previous addresses that arrive in the meantime.
func (f *follower) fetch(ctx context.Context) (*call, error) {
	current := f.calls.start(ctx, f.address, f.nextQuery())
	f.deadlines.startCall(current.startedAt)
	timeout := time.NewTimer(f.nextResponseTimeout())
	defer timeout.Stop()
	connected := current.progress.connected
	for {
		select {
		case <-connected:
			connected = nil
			f.handler.Connected()
		case done := <-f.calls.done:
			usable := f.calls.finish(done)
			switch {
			case done == current:
				return done, done.err
			case !usable: // another call has failed or was superseded; keep waiting
			case done.address == f.address:
				f.calls.detach(current)
				return done, nil
			default:
				f.applyList(done)
			}
		case <-timeout.C:
			f.calls.detach(current)
			return current, f.timeoutError()
		case <-ctx.Done():
			f.calls.detach(current)
			return current, ctx.Err()
		}
	}
}

// nextResponseTimeout returns the response timeout of the next call.
func (f *follower) nextResponseTimeout() time.Duration {
	if f.deadlines.initialListPending(time.Now()) {
		return initialListResponseTimeout
	}
	return responseTimeout
}

// timeoutError returns the error of a call whose response timeout has passed: Unresponsive for a watch, Timeout
// for a call for a snapshot, which is made only if there is no list.
func (f *follower) timeoutError() error {
	err := &Error{Kind: Timeout, Err: context.DeadlineExceeded}
	if f.haveList {
		return &Error{Kind: Unresponsive, Err: err}
	}
	return err
}
