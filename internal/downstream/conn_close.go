package downstream

import (
	"context"
	"net"
	"time"
)

// Close implements net.Conn. Further calls have no effect and return nil.
func (c *Conn) Close() error {
	c.conns.mu.Lock()
	marked := c.conns.markClosed(c)
	c.conns.mu.Unlock()
	if !marked {
		return nil
	}
	return c.Conn.Close()
}

// CloseWrite ends the sending direction, so that a client that still sends sees the
// end of its response.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// LingeringClose ends the sending direction after a last response and waits for the
// client to close the connection: until ctx ends, but for Config.LingerTimeout at
// most. A close while bytes arrive would reset the connection, and the client could
// lose a part of the response.
func (c *Conn) LingeringClose(ctx context.Context) {
	c.conns.mu.Lock()
	c.conns.beginLingering(c)
	c.conns.mu.Unlock()
	_ = c.CloseWrite() // fails if the client has reset the connection; then ctx ends
	select {
	case <-ctx.Done():
	case <-time.After(c.conns.config.LingerTimeout):
	}
}
