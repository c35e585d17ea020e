package downstream

import "calicohinge/internal/sockstate"

// ClientDisconnected reports whether the client of the active request has disconnected. It checks
// the socket itself, because net/http may not have detected the disconnect yet, and reads received
// bytes into the read-ahead buffer.
//
// Between two requests and in stageClosing it reads nothing: bytes that arrive then belong to a
// request that the client may retry at another node.
func (c *Conn) ClientDisconnected() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	switch {
	case c.state == stateClosed || c.readErr != nil:
		return true
	case c.state != stateActive:
		return false // the request has completed; its attempts that were not sent are revoked
	case c.conns.stage == stageClosing:
		return sockstate.Peek(c.Conn) == sockstate.Closed
	}
	if err := c.raw.Control(func(fd uintptr) { c.fillReadAhead(int(fd)) }); err != nil {
		return true
	}
	return c.readErr != nil
}
