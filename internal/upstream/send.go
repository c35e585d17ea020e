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

// Send makes one attempt on a server and returns its outcome. The timeout, less the
// time for getting a connection, is sent to the server as the time that the client
// still waits; it does not end Send. Cancelling the call does, and the result has
// no meaning then.
func (p *Pool) Send(call *Call, id policy.ServerID, request *Request, timeout time.Duration) Result {
	started := time.Now()
	for {
		conn, err := p.acquire(call.ctx, id)
		if err != nil {
			return Result{Status: acquireStatus(err)}
		}
		encoded, err := request.encode(timeout - time.Since(started))
		if err != nil {
			p.release(conn, true)
			return Result{Status: policy.NotSent}
		}
		if conn.quiet() {
			return p.sendOn(conn, call, encoded)
		}
		p.release(conn, false)
		if !conn.reused {
			return Result{Status: policy.ConnectFailed}
		}
	}
}

// sendOn carries out an attempt on an acquired connection and releases that.
func (p *Pool) sendOn(conn *connection, call *Call, request *encodedRequest) Result {
	stopAbort := context.AfterFunc(call.ctx, conn.abort)
	writeDeadline, err := call.start()
	if err != nil {
		p.release(conn, stopAbort())
		return Result{Status: policy.NotSent, ClientDisconnected: errors.Is(err, errClientDisconnected)}
	}
	// A server does not begin a request before its last byte, so a deadline within
	// the write is early enough.
	conn.limitWrite(writeDeadline)
	result, reusable := conn.exchange(request)
	notAborted := stopAbort()
	p.release(conn, notAborted && reusable)
	return result
}
