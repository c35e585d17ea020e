package downstream

import "calicohinge/internal/sockstate"

// ClientDisconnected reports whether the client of the active request has
// disconnected, by the present state of the socket and not by what net/http has
// noticed so far. It returns true also if the client has sent more than fits the
// read-ahead buffer, which it fills with what has arrived. Between two requests, and
// once the connections are being closed, it reads nothing: what arrives then belongs to
// a request that may be sent to another node.
func (c *Conn) ClientDisconnected() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	switch {
	case c.state == stateClosed || c.readErr != nil:
		return true
	case c.state != stateActive:
		return false // the request has its response, its attempts are revoked
	case c.conns.stage == stageClosing:
		return sockstate.Peek(c.Conn) == sockstate.Closed
	}
	if err := c.raw.Control(func(fd uintptr) { c.fillReadAhead(int(fd)) }); err != nil {
		return true
	}
	return c.readErr != nil
}
