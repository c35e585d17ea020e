package upstream

import (
	"bufio"
	"calicohinge/policy"
	"context"
	"net"
)

// connect gives a connection to a server, idle or new.
func (p *Pool) connect(ctx context.Context, id policy.ServerID) (*connection, policy.Status) {
	c, s, status := p.acquire(id)
	if c != nil || status != policy.OK {
		return c, status
	}
	dialer := net.Dialer{Timeout: p.config.ConnectTimeout, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", s.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, policy.ConnectFailed
	}
	c = &connection{Conn: nc, server: s}
	c.reader = bufio.NewReader(c)
	return c, policy.OK
}
