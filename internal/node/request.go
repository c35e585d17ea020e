package node

import (
	"slices"
	"time"

	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

// clientConn is the connection on which a client waits for the response to its request.
type clientConn interface {
	// ClientDisconnected reports whether the client has disconnected by now, even if the loop has not handled the
	// event yet. It may be called from any goroutine.
	ClientDisconnected() bool
}

// request is a client's request, from its submission to the loop until it is released.
type request struct {
	upstream.Request
	class, tenant int           // indexes into the lists in policy.Settings
	costHint      time.Duration // the client's estimate of the work; 0 if unknown
	arrivedAt     time.Duration // time on the node's clock at which its last bytes arrived
	deadline      time.Duration // time on the node's clock at which the final response is due
	client        clientConn
	completion    chan completion // has capacity 1, so that the loop never blocks when it sends the only completion

	// Only the loop's goroutine uses the fields below.
	id             policy.RequestID
	state          requestState
	attempts       []*attempt
	inFlight       int         // number of attempts in state attemptInFlight
	deadlineTimer  *time.Timer // ends all attempts at the request's deadline
	retentionTimer *time.Timer // withdraws attempts at the end of the key's retention; nil if there is no retry
}

// dropData drops the references to all data of the client and of servers. Nothing that still refers to the request,
// for example a stopped timer, keeps the data in memory then. It is called when the last holder of Memory releases it.
func (r *request) dropData() {
	r.URL, r.Header, r.Body = nil, nil, nil
	r.completion = nil
}

// startRetentionTimer starts the timer for the end of the key's retention. It replaces an earlier timer.
func (r *request) startRetentionTimer(d time.Duration, expire func()) {
	if r.retentionTimer != nil {
		r.retentionTimer.Stop()
	}
	r.retentionTimer = time.AfterFunc(d, expire)
}

// countPossiblyExecuted returns the number of attempts that a server has executed or may still execute.
func (r *request) countPossiblyExecuted() int {
	count := 0
	for _, a := range r.attempts {
		if a.state != attemptNotExecuted {
			count++
		}
	}
	return count
}

// anySent reports whether an attempt has been sent, so that a server may have received the request.
func (r *request) anySent() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.call.Sent() })
}

// completion is a request's result for its client: the final response, or an error if there is none.
type completion struct {
	response  response
	err       error
	decidedAt time.Time
}

// attempt is one attempt to have a request served by a server. Only the loop's goroutine uses its fields, but the
// call is shared with the goroutine that carries out the attempt.
type attempt struct {
	call      *upstream.Call
	server    policy.ServerID
	startedAt time.Duration // time on the node's clock
	state     attemptState
	timer     *time.Timer // ends the attempt before the request's deadline; may be nil
}
