package node

import "calicohinge/policy"

// requestState is the state of a client's request. These are its transitions; all are made in the
// loop's goroutine.
//
//	transition  from       to         made by
//	activate    new        active     loop.addRequest, once the handler has submitted the request
//	complete    active     completed  loop.addRequest, after termination: rejected
//	                                  loop.reportOutcome: the response of its first successful attempt
//	                                  loop.completeDisconnected: no response
//	                                  policyHost.Reject, policyHost.Fail: the balancer's decision
//	release     completed  released   loop.release, once no attempt is in flight
//
// A request that arrives after termination is rejected without the balancer, and needs no release.
type requestState uint8

const (
	requestNew       requestState = iota // not handed to the loop yet
	requestActive                        // it has no final response, and its client waits
	requestCompleted                     // it has its final response, or its client has disconnected
	requestReleased                      // neither the loop nor the balancer knows it any more
)

// attemptState is the state of an attempt for the balancer. An attempt in flight also has the state of its
// upstream.Call, which the goroutine that carries out the attempt may change: unsent as long as the attempt
// waits for its connection, then sending or revoked.
//
//	transition  from       to                 made by
//	start       -          in flight, unsent  policyHost.Send
//	send        unsent     sending            upstream.Pool.Send, before the first byte
//	revoke      unsent     revoked            request.complete: the client no longer waits
//	                                          loop.expireKeyRetention: the server may have forgotten
//	                                          the idempotency key
//	                                          loop.updateEndpoints: the server was removed, drains, or
//	                                          was restarted
//	end         in flight  maybe executed or  loop.reportOutcome, with the first outcome: of the attempt's
//	                       not executed       goroutine, its timer, its revocation, the request's
//	                                          deadline or policyHost.Cancel
type attemptState uint8

const (
	attemptInFlight      attemptState = iota // the balancer has no outcome yet
	attemptMaybeExecuted                     // the balancer has its outcome; it may have been executed
	attemptNotExecuted                       // the balancer has its outcome; it has not been executed
)

// activate makes a new request active under its ID.
func (r *request) activate(id policy.RequestID) {
	r.id = id
	r.state = requestActive
}

// complete completes an active request for its client; it reports false if the request is not active.
// Attempts that still wait for a connection are revoked: nothing may be sent once the client has its
// final response.
func (r *request) complete(final completion) bool {
	if r.state != requestActive {
		return false
	}
	r.state = requestCompleted
	for _, a := range r.attempts {
		a.revoke()
	}
	r.completion <- final
	return true
}

// release releases a completed request that has no attempt in flight; it reports false for others.
func (r *request) release() bool {
	if r.state != requestCompleted || r.inFlight > 0 {
		return false
	}
	r.state = requestReleased
	r.deadlineTimer.Stop()
	return true
}

// startAttempt adds an attempt in flight and returns its index.
func (r *request) startAttempt(a *attempt) int {
	r.attempts = append(r.attempts, a)
	r.inFlight++
	return len(r.attempts) - 1
}

// endAttempt records the outcome of the attempt with an index. It reports false if the attempt has one already.
func (r *request) endAttempt(index int, status policy.Status) bool {
	a := r.attempts[index]
	if a.state != attemptInFlight {
		return false
	}
	a.state = attemptMaybeExecuted
	if status.NotExecuted() {
		a.state = attemptNotExecuted
	}
	r.inFlight--
	a.call.Cancel()
	if a.timer != nil {
		a.timer.Stop()
	}
	return true
}

// revoke prevents an attempt from being sent. It reports false if its first byte may have been written, or
// if the attempt was revoked before.
func (a *attempt) revoke() bool { return a.call.Revoke() }
