package discovery

import (
	"context"
	"time"

	"calicohinge/policy"
)

// A watch is a long poll. What a watch misses counts as notified policy.NotificationDeadline after it
// became silent, which may be at its start. Within that time the client has to detect the silence and to
// have another call answered: half of it goes to the wait of the watch, a quarter to a late answer, and a
// quarter remains for the other call.
const (
	watchWait         = policy.NotificationDeadline / 2 // for which the discovery service is asked to wait
	watchAnswerMargin = policy.NotificationDeadline / 4 // by which its answer may be late
	// A call for the complete list gets as long: a service that is short of time would never catch up with a
	// fleet that repeats its calls earlier.
	callPatience = watchWait + watchAnswerMargin
	// The first call after a change of the address leaves time for another one before the deadline.
	addressChangePatience = addressChangeDeadline / 2
)

// query returns the query of the next call: what is newer than the present list, or the complete list
// if there is none.
func (f *follower) query() query {
	if !f.haveList {
		return completeListQuery(f.address)
	}
	return watchQuery(f.address, f.generation)
}

// fetch makes the next call and waits for its answer, for as long as the follower has patience, or for that
// to an earlier one. It returns the call that was answered. Its errors are of type *Error, or that of ctx.
func (f *follower) fetch(ctx context.Context) (*call, error) {
	current := f.calls.start(ctx, f.address, f.query())
	f.history.begin(current.progress)
	patience := time.NewTimer(f.patience())
	defer patience.Stop()
	for {
		select {
		case done := <-f.calls.done:
			if done == current {
				f.calls.complete(done)
				return done, done.err
			}
			if f.answeredEarlier(done) {
				f.calls.detach(current)
				return done, nil
			}
		case <-patience.C:
			f.calls.detach(current)
			return current, f.unanswered()
		case <-ctx.Done():
			f.calls.detach(current)
			return current, ctx.Err()
		}
	}
}

// patience returns how long the next call may go without an answer before another one is made.
func (f *follower) patience() time.Duration {
	if f.awaitingFirstList() {
		return addressChangePatience
	}
	return callPatience
}

// unanswered returns the error of a call that was not answered in time.
func (f *follower) unanswered() error {
	err := &Error{Kind: Timeout, Err: context.DeadlineExceeded}
	if f.haveList {
		return &Error{Kind: Unresponsive, Err: err}
	}
	return err
}
