package discovery

import (
	"context"
	"time"
)

// minCallDuration bounds the rate of the calls to a discovery service that responds to watches at once: after a
// call that took less, the follower pauses for this time.
const minCallDuration = 20 * time.Millisecond

// state is what a follower is doing.
type state int

// The states of a follower.
const (
	// stateIdle waits for RequestWatch. Only polling mode has it.
	stateIdle state = iota
	// stateCalling makes a call and waits for its response.
	stateCalling
	// statePausing waits for the time of the next call.
	statePausing
)

// follower follows the endpoint list at one address. It is a state machine; each method for a state waits for
// the events of its rows and returns the next state. The present call is the latest one. An earlier call is
// another one to the present address, still in flight although its response timeout has passed.
//
//	state    event                                  action                            next state
//	-----    -----                                  ------                            ----------
//	idle     RequestWatch                           -                                 calling
//	idle     an earlier call returns a list         apply the list                    calling
//	calling  the present or an earlier call         apply the list                    calling, or pausing
//	         returns a list                                                           after a short call
//	calling  the present call fails, or its         in polling mode: report           idle
//	         response timeout passes                the failure to the handler
//	                                                pushed: choose the retry delay    pausing
//	calling  RequestWatch                           -; a failure of the present       unchanged
//	                                                call drops the request
//	pausing  the delay has passed                   -                                 calling
//	pausing  an earlier call returns a list         apply the list                    calling
//	any      an earlier call fails                  -                                 unchanged
//	any      a call to a previous address           apply the list, unless the        unchanged
//	         returns a list                         present address has given one
//	any      the address changes, or the client     detach the present call           run returns
//	         stops
//
// After a change of the address, Client.Run makes another follower with moveTo, in stateCalling. It takes over
// the calls in flight. The first follower begins in stateCalling where lists are pushed, and in stateIdle in
// polling mode.
//
// A list is applied in applyList only, and a call ends in inFlightCalls only. The goroutine of run owns
// the fields.
type follower struct {
	client  *Client
	handler Handler
	calls   *inFlightCalls
	address string

	state   state
	delay   time.Duration // of statePausing
	backoff backoff

	haveList   bool                 // a list of the present address has been cached or applied
	generation uint64               // of that list; may be 0
	deadlines  initialListDeadlines // after a change of the address
	outage     outage
}

// newFollower makes a follower that has no list.
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

// moveTo returns the follower that continues at another address, once this one has stopped. If the initial list
// of this follower is still pending, its deadline stays in force.
func (f *follower) moveTo(address string, now time.Time) *follower {
	next := newFollower(f.client, f.handler, f.calls, address)
	next.state = stateCalling
	next.deadlines.current = now.Add(addressChangeDeadline)
	if f.initialListPending(now) {
		next.deadlines.previous = f.deadlines.nextAfter(now)
	}
	return next
}

// run follows the list until the context ends.
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

// awaitRequest waits in stateIdle and returns the next state.
func (f *follower) awaitRequest(ctx context.Context) state {
	for {
		select {
		case <-f.client.watchRequests:
			return stateCalling
		case done := <-f.calls.done:
			if f.finishEarlier(done) {
				return stateCalling
			}
		case <-ctx.Done():
			return stateIdle
		}
	}
}

// makeCall makes a call, waits in stateCalling and returns the next state.
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

// pause waits in statePausing and returns the next state.
func (f *follower) pause(ctx context.Context) state {
	timer := time.NewTimer(f.delay)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return stateCalling
		case done := <-f.calls.done:
			if f.finishEarlier(done) {
				return stateCalling
			}
		case <-ctx.Done():
			return statePausing
		}
	}
}

// finishEarlier completes a call that returns while the follower makes none, and applies its list. It returns
// true if the list is of the present address: the next call is then due at once.
func (f *follower) finishEarlier(finished *call) bool {
	if !f.calls.finish(finished) {
		return false
	}
	f.applyList(finished)
	return finished.address == f.address
}

// initialListPending reports whether the address has changed, no list of the new address has arrived, and its
// deadline has not passed.
func (f *follower) initialListPending(now time.Time) bool {
	return !f.haveList && now.Before(f.deadlines.current)
}
