package policy

// A client's request and its attempts.

import (
	"slices"
	"time"

	"calicohinge/internal/tokenbucket"
)

// queueingDeadlineDivisor limits the wait for the first attempt to half of the client's timeout. A request
// without an attempt by then is rejected, so that its client can retry it elsewhere.
const queueingDeadlineDivisor = 2

// attempt is an attempt of a request at a server.
type attempt struct {
	server       *server
	request      *request
	zone, cell   int // zone and cell of the server when the attempt started
	startedAt    time.Duration
	inFlight     bool
	notExecuted  bool // known not to have been executed
	unloaded     bool // the server was idle and the fleet lightly loaded when the attempt started
	unresponsive bool // no longer counted as in flight by the concurrency limiter
}

// isUnresponsive reports whether an attempt in flight has taken more than unresponsiveMultiple times the
// expected latency and its server has responded to no attempt since this attempt started. It is false for
// an attempt already marked as unresponsive.
func (a *attempt) isUnresponsive(now, expectedLatency time.Duration) bool {
	return a.inFlight && !a.unresponsive && a.server.respondedAt < a.startedAt &&
		float64(now-a.startedAt) > unresponsiveMultiple*float64(expectedLatency)
}

// request is a client's request and the state of its attempts.
type request struct {
	Request
	class             *requestClass
	deadline          time.Duration       // time by which the client needs its final response
	objectiveDeadline time.Duration       // time up to which a response counts with its full weight
	queueingDeadline  time.Duration       // time by which the first attempt has to start
	weight            float64             // priority weight of a response within the objective
	quota             *tokenbucket.Bucket // bucket that the request took a token from; nil if it took none
	attempts          []attempt           // never reallocated, because servers hold pointers into it
	inFlight          int                 // attempts in flight
	retryAt           time.Duration       // end of the backoff; 0 if there is none
	queued            bool                // in the admission queue
	streaming         bool                // the response of an attempt is being streamed to the client
	completed         bool                // no longer active
	activeIndex       int                 // index of this request in requestTable.active
}

// setDeadlines sets the deadlines of a new request. Final responses may be handled up to one tick late.
// ResponseGrace covers part of the tick, and the deadline is earlier by the rest of the tick.
func (r *request) setDeadlines(now time.Duration, settings *Settings) {
	timeout := min(r.Timeout, r.class.Deadline) - max(0, settings.Tick-settings.Rules.ResponseGrace)
	r.deadline = now + max(0, timeout)
	r.queueingDeadline = now + (r.deadline-now)/queueingDeadlineDivisor - checkInterval
	extension := time.Duration(r.class.ObjectivePerWork * float64(r.CostHint))
	r.objectiveDeadline = min(r.deadline, now+r.class.Objective+extension)
}

// startAttempt adds an attempt in flight.
func (r *request) startAttempt(now time.Duration, server *server) *attempt {
	r.attempts = append(r.attempts, attempt{
		server:    server,
		request:   r,
		zone:      server.Zone,
		cell:      server.Cell,
		startedAt: now,
		inFlight:  true,
	})
	r.inFlight++
	return &r.attempts[len(r.attempts)-1]
}

// endAttempt records the end of an attempt in flight.
func (r *request) endAttempt(a *attempt, status Status) {
	a.inFlight = false
	a.notExecuted = status.NotExecuted()
	r.inFlight--
}

// startStream records that the response of an attempt is being streamed to the client.
func (r *request) startStream() { r.streaming = true }

// startBackoff delays the next attempt until the given time.
func (r *request) startBackoff(until time.Duration) { r.retryAt = until }

// isRetryDue reports whether the request is in a backoff that ends now or has ended before.
func (r *request) isRetryDue(now time.Duration) bool { return r.retryAt > 0 && now >= r.retryAt }

// endBackoff clears the backoff of a retry that is due.
func (r *request) endBackoff() { r.retryAt = 0 }

// firstPossiblyExecuted returns the first attempt that may have been executed, or nil.
func (r *request) firstPossiblyExecuted() *attempt {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.notExecuted {
			return a
		}
	}
	return nil
}

// mayHaveBeenExecuted reports whether any attempt may have been executed.
func (r *request) mayHaveBeenExecuted() bool { return r.firstPossiblyExecuted() != nil }

// hasTried reports whether the request has had an attempt at the server.
func (r *request) hasTried(server *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == server })
}

// safeToReject reports whether the client may safely retry the request at any node.
func (r *request) safeToReject() bool {
	return r.class.Idempotency == Idempotent || !r.mayHaveBeenExecuted() ||
		r.class.Idempotency == IdempotentWithKey && r.class.KeyScope == KeyScopeAll
}
