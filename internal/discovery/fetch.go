package discovery

import (
	"context"
	"time"

	"calicohinge/policy"
)

// A watch is a long poll. What a watch misses counts as notified policy.NotificationDeadline after it
// became unresponsive, which may be at its start. Within that time the client has to detect the failure and
// to complete another call: half of it goes to the wait of the watch, a quarter to a late response, and a
// quarter remains for the other call.
const (
	watchWait           = policy.NotificationDeadline / 2 // for which the discovery service is to wait
	watchResponseMargin = policy.NotificationDeadline / 4 // by which its response may be late
	// A call for the complete list gets as long: a service that is short of time would never catch up with a
	// fleet that repeats its calls earlier.
	responseTimeout = watchWait + watchResponseMargin
	// The first call after a change of the address leaves time for another one before the deadline.
	initialListResponseTimeout = addressChangeDeadline / 2
)

// nextQuery returns the query of the next call: what is newer than the present list, or the complete list
// if there is none.
func (f *follower) nextQuery() query {
	if !f.haveList {
		return completeListQuery(f.address)
	}
	return watchQuery(f.address, f.generation)
}

// fetch makes the next call and waits for a list from the present address, which that call or an earlier one
// may return. It returns the call that has returned the list, or the next call and its failure. The
// errors are of type *Error, or that of ctx.
func (f *follower) fetch(ctx context.Context) (*call, error) {
	current := f.calls.start(ctx, f.address, f.nextQuery())
	timeout := time.NewTimer(f.nextResponseTimeout())
	defer timeout.Stop()
	for {
		select {
		case done := <-f.calls.done:
			usable := f.calls.complete(done)
			switch {
			case done == current:
				return done, done.err
			case usable && done.address == f.address:
				f.calls.detach(current)
				return done, nil
			case usable:
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

// timeoutError returns the error of a call without a response in time.
func (f *follower) timeoutError() error {
	err := &Error{Kind: Timeout, Err: context.DeadlineExceeded}
	if f.haveList {
		return &Error{Kind: Unresponsive, Err: err}
	}
	return err
}
