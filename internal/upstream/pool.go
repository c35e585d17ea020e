// Package upstream owns the connections to servers and carries out single
// attempts over them. Its caller is the event loop of package node, which passes
// on the endpoint list and decides which server gets an attempt, and when. Each
// Send writes a request at most once; retries are the caller's. The package does
// not touch the state of requests or of package policy: an attempt is described by
// its Call and its Result alone. While Send waits for a connection its Call may be
// revoked, and at any time canceled; see callState. An idle connection may be closed at
// any time: by its server, by RetireIdle, or for a connection to another server.
package upstream

import (
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"calicohinge/internal/netdial"
	"calicohinge/policy"
)

const (
	// idleTimeoutFraction is the part of the servers' idle timeout after which the
	// pool closes an idle connection, so that it does so before the server.
	idleTimeoutFraction = 0.6
	// maxIdlePerServer bounds the idle connections kept to a server.
	maxIdlePerServer = 32
)

// DefaultSettleDelay is the shortest time between a response and the next request
// on its connection. A server may close its connection after a response, or send
// more than the response, and that takes a moment to show. With a longer delay more
// connections stay idle, and servers reset more of them.
const DefaultSettleDelay = time.Millisecond

var (
	errUnknownServer = errors.New("server is not on the endpoint list")
	errPoolExhausted = errors.New("connection limit reached and no connection is idle")
)

// Config sets the limits of a Pool.
type Config struct {
	MaxOpen        int           // connections to all servers
	IdleTimeout    time.Duration // time after which the servers close an idle connection
	ConnectTimeout time.Duration // limit for opening a connection
	SettleDelay    time.Duration // see DefaultSettleDelay
}

// Pool holds the servers' addresses and the idle connections to them. It does not
// use http.Transport, which retries a request by itself: every attempt has to be
// decided by the caller. Its methods may be called from several goroutines; those
// whose names end in Locked need mu.
type Pool struct {
	config      Config
	dial        netdial.Func
	maxIdleTime time.Duration // time after which an idle connection is closed

	mu      sync.Mutex
	servers map[policy.ServerID]*server
	open    int // connections to all servers, those being opened included
}

// server is one incarnation of a server: its process at one address since one start.
type server struct {
	address   string
	startedAt time.Time     // of its process, by the wall clock of its machine
	idle      []*connection // in the order of their release
	removed   bool          // no longer listed, or replaced: connections are not kept
}

// reservation is the right to use one connection to a server.
type reservation struct {
	server *server
	idle   *connection // nil: a new connection, which Pool.open already counts
}

// NewPool returns a pool that knows no server yet.
func NewPool(config Config) *Pool {
	dialer := net.Dialer{KeepAlive: -1}
	return &Pool{
		config:      config,
		dial:        netdial.Repeat(dialer.DialContext),
		maxIdleTime: time.Duration(float64(config.IdleTimeout) * idleTimeoutFraction),
		servers:     map[policy.ServerID]*server{},
	}
}

// reserve reserves an idle connection or the capacity for a new one. At the limit
// of connections it closes an idle connection to any server for it. It returns
// errUnknownServer or errPoolExhausted.
func (p *Pool) reserve(id policy.ServerID) (reservation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	target := p.servers[id]
	if target == nil {
		return reservation{}, errUnknownServer
	}
	if conn := p.takeIdleLocked(target); conn != nil {
		return reservation{server: target, idle: conn}, nil
	}
	if p.open >= p.config.MaxOpen && !p.evictLocked() {
		return reservation{}, errPoolExhausted
	}
	p.open++
	return reservation{server: target}, nil
}

// cancelReservation gives back the capacity for a connection that was not opened.
func (p *Pool) cancelReservation() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// takeIdleLocked removes an idle connection from the pool and returns it, or nil: of those that
// have settled, the one that was released last. On a connection that has not settled a request
// may be lost, or get bytes of the previous response: nothing in a response names its request.
func (p *Pool) takeIdleLocked(target *server) *connection {
	for i, conn := range slices.Backward(target.idle) {
		idleFor := time.Since(conn.idleSince)
		if idleFor < p.config.SettleDelay {
			continue
		}
		target.idle = slices.Delete(target.idle, i, i+1)
		// The server closes idle connections too, and a request written to a closed
		// one counts as possibly executed.
		if idleFor <= p.maxIdleTime {
			return conn
		}
		p.closeLocked(conn)
	}
	return nil
}

// evictLocked closes the connection that has been idle for the longest time. It
// returns false if none is idle.
func (p *Pool) evictLocked() bool {
	var owner *server
	for _, s := range p.servers {
		if len(s.idle) > 0 && (owner == nil || s.idle[0].idleSince.Before(owner.idle[0].idleSince)) {
			owner = s
		}
	}
	if owner == nil {
		return false
	}
	p.closeLocked(owner.idle[0])
	owner.idle = owner.idle[1:]
	return true
}

// release returns a connection to the pool, which keeps it for a further request
// if it is reusable and closes it otherwise.
func (p *Pool) release(conn *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	target := conn.server
	if !conn.reusable || target.removed || len(target.idle) >= maxIdlePerServer {
		p.closeLocked(conn)
		return
	}
	conn.reused = true
	conn.idleSince = time.Now()
	target.idle = append(target.idle, conn)
}

// closeLocked closes a connection that counts as open and frees its capacity.
func (p *Pool) closeLocked(conn *connection) {
	p.open--
	conn.abort()
}
