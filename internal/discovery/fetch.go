package discovery

import (
	"context"
	"time"

	"calicohinge/policy"
)

// A watch is a long poll, which may become unresponsive at its start. policy.NotificationDeadline later the node
// counts as notified of the changes that the watch has missed. Within that time the client has to detect the
// failure and to complete another call: half of the time goes to the wait of the watch, a quarter to a late
// response, and a quarter remains for the other call.
const (
	// watchWait is how long the discovery service is to wait for a change.
	watchWait = policy.NotificationDeadline / 2
	// watchResponseMargin is how late the response to a watch may be.
	watchResponseMargin = policy.NotificationDeadline / 4
	// responseTimeout is the response timeout of a watch. A call for the complete list has the same one: a slow
	// service would never catch up with a fleet that repeats its calls earlier.
	responseTimeout = watchWait + watchResponseMargin
	// initialListResponseTimeout is the response timeout after a change of the address. It leaves time for a
	// second call before the deadline.
	initialListResponseTimeout = addressChangeDeadline / 2
)

// nextQuery returns the query of the next call: a watch that follows the present list, or a query for the
// complete list if there is none.
func (f *follower) nextQuery() query {
	if !f.haveList {
		return snapshotQuery(f.address)
	}
	return watchQuery(f.address, f.generation)
}

// fetch makes the next call and waits until that call fails, or until it or an earlier call returns a list of
// the present address. It returns the call that has returned the list, or the failed call with its error. The
// error is an *Error, or that of ctx. Lists of previous addresses that arrive meanwhile are applied.
func (f *follower) fetch(ctx context.Context) (*call, error) {
	current := f.calls.start(ctx, f.address, f.nextQuery())
	timeout := time.NewTimer(f.nextResponseTimeout())
	defer timeout.Stop()
	for {
		select {
		case done := <-f.calls.done:
			usable := f.calls.finish(done)
			switch {
			case done == current:
				return done, done.err
			case !usable: // the failure of another call changes nothing
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

// nextResponseTimeout returns how long to wait for the response to the next call before another one is made.
func (f *follower) nextResponseTimeout() time.Duration {
	if f.initialListPending(time.Now()) {
		return initialListResponseTimeout
	}
	return responseTimeout
}

// timeoutError returns the error of a call whose response timeout has passed: without a list it was a call for
// the complete list, with one a watch.
func (f *follower) timeoutError() error {
	err := &Error{Kind: Timeout, Err: context.DeadlineExceeded}
	if f.haveList {
		return &Error{Kind: Unresponsive, Err: err}
	}
	return err
}
