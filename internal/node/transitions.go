package node

import (
	"time"

	"calicohinge/policy"
)

// requestState is the state of a client's request. All transitions are made in the loop's goroutine:
//
//	transition  from       to         caller and condition
//	activate    new        active     loop.addRequest, when the handler has submitted the request
//	complete    active     completed  loop.addRequest: rejected, since the node has terminated
//	                                  loop.reportOutcome: response of the first successful attempt
//	                                  loop.completeDisconnected: no response
//	                                  policyHost.Reject, policyHost.Fail: decision of the balancer
//	release     completed  released   loop.release, when no attempt is in flight any longer
//
// A request that arrives after termination is rejected without a call of the balancer and is not released.
type requestState uint8

const (
	requestNew       requestState = iota // the loop has not handled the request yet
	requestActive                        // the client waits for the final response
	requestCompleted                     // there is a final response, or the client has disconnected
	requestReleased                      // neither the loop nor the balancer holds the request any longer
)

// attemptState is the state of an attempt: in flight, or ended and whether a server may have executed the request. An
// attempt in flight also has the state of its upstream.Call: waiting until the attempt has a connection, then sent
// or revoked. The goroutine that carries out the attempt may change that state.
//
//	transition  from       to                  caller and condition
//	start       -          in flight, waiting  policyHost.Send
//	send        waiting    sent                upstream.Pool.Send, just before the first byte
//	revoke      waiting    revoked             request.complete: the client no longer waits
//	                                           loop.expireKeyRetention: servers may have discarded the
//	                                           idempotency key
//	                                           loop.updateEndpoints: the server was removed, is
//	                                           draining, or is another incarnation now
//	end         in flight  possibly executed   loop.reportOutcome, on the first outcome: from the attempt's
//	                       or not executed     goroutine, its timer, its revocation, the request's
//	                                           deadline or policyHost.Cancel
type attemptState uint8

const (
	attemptInFlight         attemptState = iota // no outcome yet
	attemptPossiblyExecuted                     // ended; a server may have executed the request
	attemptNotExecuted                          // ended; the server has not executed the request
)

// activate assigns an ID to a new request and makes it active.
func (r *request) activate(id policy.RequestID) {
	r.id = id
	r.state = requestActive
}

// complete completes an active request and sends the result to the handler. It returns false if the request is not
// active. Attempts that still wait for a connection are revoked, since nothing may be sent to a server after the
// request has completed.
func (r *request) complete(final completion) bool {
	if r.state != requestActive {
		return false
	}
	r.state = requestCompleted
	for _, a := range r.attempts {
		a.revoke()
	}
	final.decidedAt, final.response.forwarded = time.Now(), r.anySent()
	r.completion <- final
	return true
}

// release releases a completed request without attempts in flight. For any other request it returns false.
func (r *request) release() bool {
	if r.state != requestCompleted || r.inFlight > 0 {
		return false
	}
	r.state = requestReleased
	r.deadlineTimer.Stop()
	if r.retentionTimer != nil {
		r.retentionTimer.Stop()
	}
	return true
}

// startAttempt adds an attempt, which is in flight, and returns its index.
func (r *request) startAttempt(a *attempt) int {
	r.attempts = append(r.attempts, a)
	r.inFlight++
	return len(r.attempts) - 1
}

// endAttempt ends the attempt at index with the status of its outcome. It returns false if the attempt has already
// ended.
func (r *request) endAttempt(index int, status policy.Status) bool {
	a := r.attempts[index]
	if a.state != attemptInFlight {
		return false
	}
	a.state = attemptPossiblyExecuted
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

// revoke prevents an attempt from being sent. It returns false if the attempt was sent or revoked before.
func (a *attempt) revoke() bool { return a.call.Revoke() }
