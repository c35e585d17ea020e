package downstream

import (
	"bytes"
	"time"
)

// interimResponse is the start of the interim response by which net/http asks for the body of a request.
const interimResponse = "HTTP/1.1 100 "

// minTurnWait is the shortest wait for a turn that extends the write deadline.
const minTurnWait = time.Millisecond

// newConnTurnCost is the cost of the turn for the first response on a connection: it includes the accept, the first read
// and the close of the connection.
const newConnTurnCost = 4

// MarkForwarded records that a server may have received the active request. Its response does not count as a local
// response.
func (c *Conn) MarkForwarded() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.forwarded = true
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(deadline time.Time) error {
	c.conns.mu.Lock()
	c.writeDeadline = deadline
	c.conns.mu.Unlock()
	return c.Conn.SetWriteDeadline(deadline)
}

// Write implements net.Conn. All responses of net/http and of the handler pass here. A local response waits for the turn
// of its connection, which lasts until the connection has no further request to read, or until a request is forwarded.
func (c *Conn) Write(p []byte) (int, error) {
	if cost := c.beginResponse(p); cost > 0 {
		c.awaitTurn(cost)
	}
	return c.Conn.Write(p)
}

// beginResponse records the first bytes of the final response to the current request. It returns the cost of the turn that
// they need, or 0 if they are not those of a local response.
func (c *Conn) beginResponse(p []byte) int {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.responding || bytes.HasPrefix(p, []byte(interimResponse)) {
		return 0
	}
	c.responding = true
	if c.forwarded {
		return 0
	}
	c.conns.countLocalResponse(c)
	if isFirst := c.respondedAt.IsZero(); isFirst {
		return newConnTurnCost
	}
	return 1
}

// awaitTurn waits until the connection may use the processor for a local response. The wait does not count against the
// write deadline: the response is owed to the client.
func (c *Conn) awaitTurn(cost int) {
	began := time.Now()
	c.conns.throttle.Begin(&c.turn, cost)
	waited := time.Since(began)
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.writeDeadline.IsZero() || waited < minTurnWait {
		return
	}
	c.writeDeadline = c.writeDeadline.Add(waited)
	_ = c.Conn.SetWriteDeadline(c.writeDeadline) // an error means that the connection is closed; the write fails too
}

// endTurn lets the next connection use the processor for a local response.
func (c *Conn) endTurn() { c.conns.throttle.End(&c.turn) }

// endResponse expects the response to the next request. The caller holds conns.mu.
func (c *Conn) endResponse() { c.responding, c.forwarded = false, false }
