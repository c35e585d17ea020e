package downstream

import (
	"context"
	"net"
	"time"
)

// Close implements net.Conn. Further calls have no effect and return nil.
func (c *Conn) Close() error {
	if !c.markClosed() {
		return nil
	}
	return c.Conn.Close()
}

// markClosed is Conns.close for a caller that does not hold conns.mu.
func (c *Conn) markClosed() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.conns.close(c)
}

// CloseWrite ends the sending direction, so that a client that still sends sees the
// end of its answer.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// LingeringClose ends the sending direction after a last answer and waits for the
// client to close the connection: until ctx ends, but for Config.LingerTimeout at
// most. A close while bytes arrive would reset the connection, and the client would
// lose what is in transit of the answer.
func (c *Conn) LingeringClose(ctx context.Context) {
	c.beginLingering()
	_ = c.CloseWrite() // fails if the client has reset the connection; then ctx ends
	select {
	case <-ctx.Done():
	case <-time.After(c.conns.config.LingerTimeout):
	}
}

func (c *Conn) beginLingering() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.phase != phaseClosed {
		c.conns.setPhase(c, phaseLingering)
	}
}
