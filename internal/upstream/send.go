package upstream

import (
	"context"
	"errors"
	"net/http"
	"time"

	"calicohinge/policy"
)

// Result is the outcome of an attempt.
type Result struct {
	Status             policy.Status
	ClientDisconnected bool        // the attempt was not sent as its client had disconnected
	Header             http.Header // end-to-end fields of the response, if Status is policy.OK
	Body               []byte      // of the response, if Status is policy.OK
}

// Send makes one attempt on a server and returns its outcome. The deadline is when the client
// stops waiting. The request carries the time that is left until then, and is not sent if none
// is left. The deadline does not end Send. Cancelling the call does; its result has no meaning
// then.
func (p *Pool) Send(call *Call, id policy.ServerID, request *Request, deadline time.Time) Result {
	for {
		conn, err := p.acquire(call.ctx, id)
		if err != nil {
			return Result{Status: acquireStatus(err)}
		}
		left := time.Until(deadline)
		encoded, err := request.encode(left)
		if err != nil || left <= 0 {
			p.release(conn)
			return Result{Status: policy.NotSent}
		}
		if conn.readyForRequest() {
			return p.sendOn(conn, call, encoded)
		}
		conn.reusable = false
		p.release(conn)
		if !conn.reused { // a server may close an idle connection: only then is another one tried
			return Result{Status: policy.ConnectFailed}
		}
	}
}

// sendOn carries out an attempt on an acquired connection and releases the connection.
func (p *Pool) sendOn(conn *connection, call *Call, request *encodedRequest) Result {
	stopAbort := context.AfterFunc(call.ctx, conn.abort)
	// A server does not begin a request before its last byte, so a deadline within
	// the write is early enough.
	writeDeadline := call.writeDeadlineOrZero()
	conn.setWriteDeadline(writeDeadline)
	if err := call.permitSend(); err != nil {
		conn.reusable = stopAbort() // false: the call was cancelled, and the connection is closed
		p.release(conn)
		return Result{Status: policy.NotSent, ClientDisconnected: errors.Is(err, errClientDisconnected)}
	}
	if latest := call.writeDeadlineOrZero(); !latest.Equal(writeDeadline) {
		conn.setWriteDeadline(latest) // it was set meanwhile
	}
	result := conn.exchange(request)
	if aborted := !stopAbort(); aborted {
		conn.reusable = false
	}
	p.release(conn)
	return result
}
