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
	ClientDisconnected bool        // the attempt was not sent because its client had disconnected
	Header             http.Header // end-to-end fields of the response if Status is policy.StatusOK
	Body               []byte      // response body if Status is policy.StatusOK
}

// Send makes one attempt on a server and returns its outcome. The deadline is the time at which the
// client stops waiting. The request tells the server how much time is left until then, and is not
// sent if no time is left. The deadline does not end Send; Call.Cancel does, and the result then has
// no meaning.
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
			return Result{Status: policy.StatusNotSent}
		}
		encoded.memory = newResponseMemory(call.ctx, p.config.ResponseMemory, request)
		if conn.readyForRequest() {
			return p.sendOn(conn, call, encoded)
		}
		conn.reusable = false
		p.release(conn)
		// The server has closed the connection, or has sent bytes without a request. This may happen to
		// an idle connection, so another connection is tried. On a new connection it is a failure.
		if !conn.reused {
			return Result{Status: policy.StatusConnectFailed}
		}
	}
}

// sendOn makes an attempt on an acquired connection and releases the connection.
func (p *Pool) sendOn(conn *connection, call *Call, request *encodedRequest) Result {
	stopAbort := context.AfterFunc(call.ctx, conn.abort)
	// A server does not execute a request before the last byte has arrived, so it suffices that the
	// write deadline, which attach applies, interrupts the write.
	call.attach(conn)
	result := p.exchangeUnlessRevoked(conn, call, request)
	call.detach()
	if aborted := !stopAbort(); aborted {
		conn.reusable = false
	}
	p.release(conn)
	return result
}

// exchangeUnlessRevoked makes the exchange of an attempt that may still be sent.
func (p *Pool) exchangeUnlessRevoked(conn *connection, call *Call, request *encodedRequest) Result {
	if err := call.checkAndMarkSent(); err != nil {
		return Result{Status: policy.StatusNotSent, ClientDisconnected: errors.Is(err, errClientDisconnected)}
	}
	return p.exchange(conn, request)
}
