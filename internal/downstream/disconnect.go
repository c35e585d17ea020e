package downstream

import "calicohinge/internal/sockstate"

// ClientDisconnected reports whether the client of the active request has
// disconnected. It inspects the socket, as net/http may not have noticed yet, and reads what
// has arrived into the read-ahead buffer. A client that has sent more than fits counts as
// disconnected. Between two requests, and from stageClosing on, it reads nothing: what
// arrives then belongs to a request that the client may send to another node.
func (c *Conn) ClientDisconnected() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	switch {
	case c.state == stateClosed || c.readErr != nil:
		return true
	case c.state != stateActive:
		return false // the request has its response, and its attempts are revoked
	case c.conns.stage == stageClosing:
		return sockstate.Peek(c.Conn) == sockstate.Closed
	}
	if err := c.raw.Control(func(fd uintptr) { c.fillReadAhead(int(fd)) }); err != nil {
		return true
	}
	return c.readErr != nil
}
