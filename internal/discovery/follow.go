package discovery

import (
	"context"
	"log/slog"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

// quickCallPause follows a call that was answered in less time than this: it bounds the rate of the calls
// to a discovery service that answers watches at once.
const quickCallPause = 20 * time.Millisecond

// follower follows the endpoint list at one address. Its fields belong to the goroutine of run.
type follower struct {
	client     *Client
	handler    Handler
	calls      *inFlightCalls
	address    string
	backoff    backoff
	watching   bool      // the next call needs no request; always so where lists are pushed
	haveList   bool      // generation is valid, even if it is 0
	generation uint64    // of the present list
	listDue    time.Time // deadline of the first list after a change of the address, else zero
	formerDue  time.Time // the same of an earlier change, if its list has not arrived either
	history    history   // for the log
}

// newFollower makes a follower that has no list and waits for a request.
func newFollower(client *Client, handler Handler, calls *inFlightCalls, address string) *follower {
	return &follower{
		client:  client,
		handler: handler,
		calls:   calls,
		address: address,
		backoff: newBackoff(client.maxBackoff),
		history: history{progress: &callProgress{}},
	}
}

// moveTo returns a follower of the list at another address, for a follower that has stopped. What that one
// was still to be notified of keeps its deadline.
func (f *follower) moveTo(address string, now time.Time) *follower {
	next := newFollower(f.client, f.handler, f.calls, address)
	next.watching = true
	next.listDue = now.Add(addressChangeDeadline)
	if f.awaitingFirstList() {
		next.formerDue = f.nextDue(now)
	}
	return next
}

// run calls the discovery service until the context ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil && f.awaitWatchRequest(ctx) {
		startedAt := time.Now()
		call, err := f.fetch(ctx)
		if err != nil {
			// One that is left idle may be silent by the time of the next call.
			f.client.httpClient.CloseIdleConnections()
		}
		switch {
		case err == nil:
			f.report(call)
			f.pauseAfterQuickCall(ctx, startedAt)
		case ctx.Err() != nil:
			return // the call is no failure
		case f.client.polling:
			f.reportFailure(err, startedAt)
		default:
			f.backOff(ctx, err)
		}
	}
}

// awaitWatchRequest returns true once a call may be made, and false if the context ends before.
func (f *follower) awaitWatchRequest(ctx context.Context) bool {
	for !f.watching {
		select {
		case <-f.client.watchRequests:
			return true
		case done := <-f.calls.done:
			f.useEarlier(done)
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// answeredEarlier reports whether an earlier call has ended with a list from the present address. It uses a
// list from a former one itself.
func (f *follower) answeredEarlier(done *call) bool {
	switch {
	case !f.calls.complete(done):
		return false
	case done.address == f.address:
		return true
	case !f.haveList: // it is in force until the present address gives its own
		slog.Info("endpoint list of previous address", "discovery_addr", done.address, "generation", done.list.Generation)
		f.handOver(done.list)
	}
	return false
}

// useEarlier uses the answer to an earlier call, if it has one, between two calls. It reports whether the
// answer came from the present address, so that the list is followed again.
func (f *follower) useEarlier(call *call) bool {
	if !f.answeredEarlier(call) {
		return false
	}
	f.report(call)
	return true
}

// report hands the list of a call to the handler and keeps its generation for the next call.
func (f *follower) report(call *call) {
	f.backoff.reset()
	f.watching = true
	if f.overtaken(call) {
		return
	}
	f.logList(call.list)
	f.haveList, f.generation = true, call.list.Generation
	f.handOver(call.list)
}

// overtaken reports whether the answer to an earlier call has brought a newer list than this call since it
// was made. A service whose generation is lower than the one that it is asked for has started anew instead.
func (f *follower) overtaken(call *call) bool {
	answeredMeanwhile := f.haveList && (call.query.complete || call.query.after != f.generation)
	return answeredMeanwhile && call.list.Generation < f.generation
}

// handOver hands a list to the handler.
func (f *follower) handOver(list endpoint.List) {
	switch {
	case list.Complete:
		f.handler.UpdateEndpoints(policy.UpdateSnapshot, list.Endpoints)
	case len(list.Endpoints) > 0:
		f.handler.UpdateEndpoints(policy.UpdateDelta, list.Endpoints)
	}
	f.handler.Synced()
}

func (f *follower) pauseAfterQuickCall(ctx context.Context, startedAt time.Time) {
	if time.Since(startedAt) < quickCallPause {
		f.pause(ctx, quickCallPause)
	}
}

// pause returns after a delay, when an earlier call is answered or when the context ends.
func (f *follower) pause(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return
		case done := <-f.calls.done:
			if f.useEarlier(done) {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// reportFailure reports a failed call to the handler, which requests the next one.
func (f *follower) reportFailure(err error, startedAt time.Time) {
	f.logFailure(err)
	f.watching = false
	f.dropStaleWatchRequest()
	f.handler.WatchFailed(f.notifiedAt(startedAt, time.Now()))
}

// notifiedAt returns when the node counts as notified of what a call has missed that failed now.
func (f *follower) notifiedAt(startedAt, now time.Time) time.Time {
	deadline := startedAt.Add(policy.NotificationDeadline)
	if due := f.nextDue(now); f.awaitingFirstList() && due.Before(deadline) {
		return due
	}
	return deadline
}

// nextDue returns when the first list after changes of the address is due next.
func (f *follower) nextDue(now time.Time) time.Time {
	if now.Before(f.formerDue) {
		return f.formerDue
	}
	return f.listDue
}

// dropStaleWatchRequest removes a request from before the present failure. With it the next call would
// follow at once, and at all nodes together.
func (f *follower) dropStaleWatchRequest() {
	select {
	case <-f.client.watchRequests:
	default:
	}
}

// backOff pauses after a failed call where lists are pushed.
func (f *follower) backOff(ctx context.Context, err error) {
	delay := f.retryDelay(kindOf(err))
	f.logFailure(err, "retry_in", delay)
	f.pause(ctx, delay)
}

// retryDelay returns the delay after a failed call. The notification deadline leaves no time for a
// backoff after a silent watch, nor before the first list at a new address.
func (f *follower) retryDelay(kind ErrorKind) time.Duration {
	if kind == Unresponsive || f.awaitingFirstList() {
		return shortDelay()
	}
	return f.backoff.next()
}

// awaitingFirstList reports whether the address changed a short while ago and its list has not arrived.
func (f *follower) awaitingFirstList() bool { return !f.haveList && time.Now().Before(f.listDue) }
