package discovery

import (
	"context"
	"time"
)

// minCallDuration bounds the rate of calls to a discovery service that responds to watches immediately: the
// follower pauses for this time after a call that was shorter.
const minCallDuration = 20 * time.Millisecond

// state is a state of a follower.
type state int

const (
	// stateIdle is waiting for RequestWatch. It occurs only in polling mode.
	stateIdle state = iota
	// stateCalling is making a call and waiting for its response.
	stateCalling
	// statePausing is waiting for the delay before the next call.
	statePausing
)

// follower follows the endpoint list at one address. It is a state machine with one method per state, which
// waits for the events of that state in the table below and returns the next state. The current call is the
// call that was made last. An earlier call is a call to the current address that is still in flight although its
// response timeout has passed.
//
//	state    event                                  action                            next state
//	-----    -----                                  ------                            ----------
//	idle     RequestWatch                           none                              calling
//	idle     an earlier call returns a list         apply the list                    calling
//	calling  the current or an earlier call         apply the list                    calling, or pausing
//	         returns a list                                                           after a short call
//	calling  the current call fails or exceeds      report the failure to the         polling mode: idle
//	         its response timeout                   handler; push mode: choose        push mode: pausing
//	                                                the retry delay
//	calling  RequestWatch                           keep the request; drop it if      unchanged
//	                                                the current call fails
//	pausing  the delay has passed                   none                              calling
//	pausing  an earlier call returns a list         apply the list                    calling
//	any      an earlier call fails                  none                              unchanged
//	any      a call to a previous address           apply the list, unless the        unchanged
//	         returns a list                         current address has returned one
//	any      the address changes, or the client     detach the current call           run returns
//	         stops
//
// The first follower starts in stateCalling in push mode and in stateIdle in polling mode. After a change of
// address, Client.Run replaces it by the follower that moveTo returns, which starts in stateCalling and takes
// over the calls in flight.
//
// Lists are applied only in applyList, and calls end only in inFlightCalls. The fields are owned by the
// goroutine that calls run.
type follower struct {
	client  *Client
	handler Handler
	calls   *inFlightCalls
	address string

	state   state
	delay   time.Duration // how long to stay in statePausing
	backoff backoff

	haveList   bool   // whether a list from the current address was cached or applied
	generation uint64 // generation of the list, possibly 0; always 0 if haveList is false
	// unconfirmed is true in push mode while the list is the cached list and no call has returned a list. Only the first
	// follower starts with it: after a change of address, the next call requests a snapshot.
	unconfirmed bool
	deadlines   notificationDeadlines
	outage      outage
}

// newFollower returns a follower without a list.
func newFollower(client *Client, handler Handler, calls *inFlightCalls, address string) *follower {
	f := &follower{
		client:  client,
		handler: handler,
		calls:   calls,
		address: address,
		state:   stateCalling,
		backoff: newBackoff(client.maxBackoff),
	}
	if client.polling {
		f.state = stateIdle
	}
	return f
}

// moveTo returns the follower that continues at another address. f must have stopped.
func (f *follower) moveTo(address string, now time.Time) *follower {
	next := newFollower(f.client, f.handler, f.calls, address)
	next.state = stateCalling
	next.deadlines = f.deadlines.changeAddress(now)
	return next
}

// run follows the list until ctx is done.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		switch f.state {
		case stateIdle:
			f.state = f.awaitRequest(ctx)
		case stateCalling:
			f.state = f.makeCall(ctx)
		case statePausing:
			f.state = f.pause(ctx)
		}
	}
}

// awaitRequest handles stateIdle and returns the next state.
func (f *follower) awaitRequest(ctx context.Context) state {
	for {
		select {
		case <-f.client.watchRequests:
			return stateCalling
		case done := <-f.calls.done:
			if f.finishCall(done) {
				return stateCalling
			}
		case <-ctx.Done():
			return stateIdle
		}
	}
}

// makeCall handles stateCalling and returns the next state.
func (f *follower) makeCall(ctx context.Context) state {
	startedAt := time.Now()
	done, err := f.fetch(ctx)
	if err != nil {
		return f.handleFailure(ctx, done, err)
	}
	f.applyList(done)
	if time.Since(startedAt) < minCallDuration {
		f.delay = minCallDuration
		return statePausing
	}
	return stateCalling
}

// pause handles statePausing and returns the next state.
func (f *follower) pause(ctx context.Context) state {
	timer := time.NewTimer(f.delay)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return stateCalling
		case done := <-f.calls.done:
			if f.finishCall(done) {
				return stateCalling
			}
		case <-ctx.Done():
			return statePausing
		}
	}
}

// finishCall finishes a call that returns while the follower has no current call, and applies its list. It
// returns true if the list is from the current address, in which case the next call is due immediately.
func (f *follower) finishCall(finished *call) bool {
	if !f.calls.finish(finished) {
		return false
	}
	f.applyList(finished)
	return finished.address == f.address
}
