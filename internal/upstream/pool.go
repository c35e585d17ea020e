// Package upstream owns the connections to servers and carries out single
// attempts over them. It decides nothing: which server gets an attempt, and when,
// is told by its caller, and each Send writes a request at most once.
package upstream

import (
	"context"
	"slices"
	"sync"
	"time"

	"calicohinge/policy"
)

const (
	idleTimeoutShare = 0.6 // of the servers' idle time, after which a connection is retired
	maxIdlePerServer = 32  // idle connections kept to a server
)

// DefaultSettleDelay is kept from an answer to the next request on its connection. With
// ten times as much the connections rest longer, and more of them are reset at
// their next request (327 against 91 on the same day).
const DefaultSettleDelay = time.Millisecond

// Config is what a Pool is told at its creation.
type Config struct {
	MaxOpen        int           // connections to all servers
	IdleTimeout    time.Duration // servers close a connection that was idle for so long
	ConnectTimeout time.Duration
	SettleDelay    time.Duration // see DefaultSettleDelay
}

// Pool holds the servers' addresses and the idle connections to them. The
// connections are its own, not those of an http.Transport: that one sends a
// request again by itself, which would be an attempt nobody decided on.
type Pool struct {
	config Config

	mu      sync.Mutex
	servers map[policy.ServerID]*server
	open    int // connections to all servers, those being opened included
}

// NewPool makes a pool that knows no server yet.
func NewPool(config Config) *Pool {
	config.IdleTimeout = time.Duration(float64(config.IdleTimeout) * idleTimeoutShare)
	return &Pool{config: config, servers: map[policy.ServerID]*server{}}
}

// closeLocked closes a connection; p.mu is held.
func (p *Pool) closeLocked(c *connection) {
	p.open--
	c.Conn.Close()
}

// RetireIdle closes connections that were idle for too long, until the context ends.
func (p *Pool) RetireIdle(ctx context.Context) {
	tick := time.NewTicker(max(p.config.IdleTimeout/8, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		p.mu.Lock()
		for _, s := range p.servers {
			n := 0
			for n < len(s.idle) && time.Since(s.idle[n].idleSince) > p.config.IdleTimeout {
				p.closeLocked(s.idle[n])
				n++
			}
			s.idle = append(s.idle[:0], s.idle[n:]...)
		}
		p.mu.Unlock()
	}
}

// acquire gives an idle connection, or leave to open one: nil and the server. At
// the cap it makes room at the expense of another server's idle connection.
func (p *Pool) acquire(id policy.ServerID) (*connection, *server, policy.Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id]
	if s == nil {
		return nil, nil, policy.ConnectFailed
	}
	// The one used last that has settled: what a server does with a connection
	// behind an answer, to close it or to send more than belongs to the answer,
	// takes a moment to show. A request written before that is lost, or would get
	// what belongs to the former one: nothing in an answer names its request.
	for n := len(s.idle) - 1; n >= 0; n-- {
		c := s.idle[n]
		rested := time.Since(c.idleSince)
		if rested < p.config.SettleDelay {
			continue
		}
		s.idle = slices.Delete(s.idle, n, n+1)
		// The server closes idle connections too, and a request written to one
		// that is closed counts as one that may have run.
		if rested <= p.config.IdleTimeout {
			return c, s, policy.OK
		}
		p.closeLocked(c)
	}
	if p.open >= p.config.MaxOpen && !p.evictLocked() {
		return nil, nil, policy.NotSent // nobody's fault, and nothing was sent
	}
	p.open++
	return nil, s, policy.OK
}

// evictLocked closes the connection that is idle for longest; p.mu is held.
func (p *Pool) evictLocked() bool {
	var from *server
	for _, s := range p.servers {
		if len(s.idle) > 0 && (from == nil || s.idle[0].idleSince.Before(from.idle[0].idleSince)) {
			from = s
		}
	}
	if from == nil {
		return false
	}
	p.closeLocked(from.idle[0])
	from.idle = from.idle[1:]
	return true
}

// release takes a connection back, for the next request if keep.
func (p *Pool) release(c *connection, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !keep || c.server.removed || len(c.server.idle) >= maxIdlePerServer {
		p.closeLocked(c)
		return
	}
	c.reused, c.idleSince = true, time.Now()
	c.server.idle = append(c.server.idle, c)
}
