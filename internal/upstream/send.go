package upstream

import (
	"bytes"
	"calicohinge/internal/sockstate"
	"calicohinge/policy"
	"context"
	"net/http"
	"time"
)

// Result is how an attempt ended, and the answer if it was served.
type Result struct {
	Status             policy.Status
	ClientDisconnected bool // the client was found to have disconnected
	Header             http.Header
	Body               []byte
}

// Send makes one attempt and tells how it ended. The caller stops the call
// when it gives up; what comes back then is of no interest.
func (p *Pool) Send(c *Call, id policy.ServerID, o *Request, left time.Duration) Result {
	started := time.Now()
	for {
		conn, status := p.connect(c.ctx, id)
		if conn == nil {
			return Result{Status: status}
		}
		req := o.httpRequest(left - time.Since(started))
		var message bytes.Buffer
		if err := req.Write(&message); err != nil {
			p.release(conn, true)
			return Result{Status: policy.NotSent}
		}
		if sockstate.Peek(conn.Conn) != sockstate.Quiet { // closed, or out of step
			p.release(conn, false)
			if conn.reused {
				continue
			}
			return Result{Status: policy.ConnectFailed}
		}
		unhook := context.AfterFunc(c.ctx, func() { conn.Conn.Close() })
		// The last looks before the first byte goes out: the news of a client's leaving may
		// still wait in a queue, the loop may have barred the call, or be too late to do so.
		if c.clientDisconnected() {
			p.release(conn, unhook())
			return Result{Status: policy.NotSent, ClientDisconnected: true}
		}
		latest := c.deadline()
		if !latest.IsZero() && !time.Now().Before(latest) || !c.gate.CompareAndSwap(unsent, sending) {
			p.release(conn, unhook())
			return Result{Status: policy.NotSent}
		}
		conn.Conn.SetWriteDeadline(latest) // a server begins a request with its last byte
		conn.responseReadTimeout = o.ResponseReadTimeout
		res, keep := conn.exchange(req, message.Bytes())
		p.release(conn, unhook() && keep)
		return res
	}
}
