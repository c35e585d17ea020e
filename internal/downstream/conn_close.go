package downstream

import (
	"context"
	"net"
	"time"

	"calicohinge/internal/sockstate"
)

// Close implements net.Conn. Closing a connection that is already marked closed has no effect and
// returns nil.
func (c *Conn) Close() error {
	c.conns.mu.Lock()
	marked := c.conns.markClosed(c)
	c.conns.mu.Unlock()
	if !marked {
		return nil
	}
	return c.Conn.Close()
}

// CloseWrite shuts down the sending direction, so that a client that is still sending can read its
// response to the end.
func (c *Conn) CloseWrite() error {
	c.endTurn() // net/http waits before it closes the connection
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// resetOnClose makes the close of the socket reset the connection. A reset tells a client that is about to send its first
// request that nothing of it was read. After an orderly close the client could not tell this from a request that was read
// and not answered.
func (c *Conn) resetOnClose() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // after an error the close is an orderly one
	}
}

// lingerPollInterval is the time between two checks whether the client has closed a lingering connection. net/http
// signals that by the context only if it has read the request to its end.
const lingerPollInterval = 10 * time.Millisecond

// LingeringClose shuts down the sending direction after the last response and gives the client time
// to close the connection: it returns when the client has closed it unless KeepPlace was called, when ctx is done, or after Config.LingerTimeout. Closing the
// connection while bytes arrive would reset it, and the client could lose a part of the response.
func (c *Conn) LingeringClose(ctx context.Context) {
	c.conns.mu.Lock()
	c.conns.beginLingering(c)
	c.conns.mu.Unlock()
	_ = c.CloseWrite() // fails if the client has reset the connection; ctx is done then
	timeout := time.NewTimer(c.conns.config.LingerTimeout)
	defer timeout.Stop()
	poll := time.NewTicker(lingerPollInterval)
	defer poll.Stop()
	for !c.lingerEnds() {
		select {
		case <-ctx.Done():
			return
		case <-timeout.C:
			return
		case <-poll.C:
		}
	}
}

// KeepPlace makes the connection keep its place within the limit of connections until its linger times out, even if its
// client closes it. Its request was rejected for want of capacity: clients that come again at once would otherwise take
// every place that becomes free.
func (c *Conn) KeepPlace() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.keepsPlace = true
}

// lingerEnds reports whether a lingering connection can be closed now.
func (c *Conn) lingerEnds() bool {
	c.conns.mu.Lock()
	keepsPlace := c.keepsPlace
	c.conns.mu.Unlock()
	return !keepsPlace && c.peerClosed()
}

// peerClosed reports whether the client has closed the connection, also behind unread bytes.
func (c *Conn) peerClosed() bool {
	closed := false
	err := c.raw.Control(func(fd uintptr) { closed = sockstate.PeerClosed(int(fd)) })
	return closed || err != nil
}
