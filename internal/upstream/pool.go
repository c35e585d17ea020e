// Package upstream manages the connections to servers and makes single attempts over them. Its
// caller is the event loop of package node, which passes on the endpoint list and decides when an
// attempt starts and on which server.
//
// Each call of Pool.Send writes a request at most once; the caller decides on retries. The package
// does not access the state of requests or of package policy. The caller controls an attempt through
// its Call, and the Result of the attempt tells how it ended. An attempt can be revoked while Send
// waits for a connection (see callState), and can be cancelled at any time.
//
// An idle connection can be closed at any time: by its server, by EnforceIdleTimeout, or to make room for a
// connection to another server.
package upstream

import (
	"bufio"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"calicohinge/internal/memorybudget"
	"calicohinge/internal/netdial"
	"calicohinge/policy"
)

const (
	// idleTimeoutFraction is the fraction of the servers' idle timeout after which the pool
	// closes an idle connection, so that the pool closes it before the server does.
	idleTimeoutFraction = 0.6
	// maxIdlePerServer is the maximum number of idle connections to one server.
	maxIdlePerServer = 32
)

var (
	errUnknownServer = errors.New("server is not on the endpoint list")
	errPoolExhausted = errors.New("connection limit reached and no connection is idle")
)

// Config sets the limits of a Pool.
type Config struct {
	MaxOpen        int           // maximum number of connections to all servers
	IdleTimeout    time.Duration // idle time after which servers close a connection
	ConnectTimeout time.Duration // maximum time for opening a connection
	ReuseDelay     time.Duration // see DefaultReuseDelay; 0: connections are reused at once
	// ResponseMemory is the memory for the responses of all attempts that exceed responseAllowance.
	ResponseMemory *memorybudget.Budget
}

// Pool holds the addresses of the servers and the idle connections to them. It does not use
// http.Transport, which retries requests on its own: the caller has to decide on every attempt.
// Its methods are safe for concurrent use. Methods whose names end in Locked require p.mu.
type Pool struct {
	config      Config
	dial        netdial.Func
	maxIdleTime time.Duration // idle time after which the pool closes a connection
	readers     sync.Pool     // of *bufio.Reader: buffers of exchanges that have ended, so that idle connections need none

	mu      sync.Mutex
	servers map[policy.ServerID]*server
	open    int // connections to all servers, including those being opened
}

// server is one incarnation of a server, identified by its address and the start time of its process.
type server struct {
	address   string
	startedAt time.Time     // start time of the server's process, by the wall clock of its machine
	idle      []*connection // idle connections in the order of their release, oldest first
	surplusAt time.Time     // when the server last turned out to have sent surplus bytes; zero if it never has
	// removed is true if the server is no longer listed or was replaced by another incarnation. Its
	// connections are then closed when they are released.
	removed bool
}

// reservation permits its holder to use one connection to a server.
type reservation struct {
	server *server
	idle   *connection   // nil if a new connection is to be opened, which Pool.open already counts
	wait   time.Duration // time until the reuse delay of idle ends; not positive if it has ended
}

// NewPool returns a pool without servers. UpdateEndpoints adds them.
func NewPool(config Config) *Pool {
	dialer := net.Dialer{KeepAlive: -1}
	return &Pool{
		config:      config,
		dial:        netdial.Retry(dialer.DialContext),
		maxIdleTime: time.Duration(float64(config.IdleTimeout) * idleTimeoutFraction),
		readers:     sync.Pool{New: func() any { return bufio.NewReader(nil) }},
		servers:     map[policy.ServerID]*server{},
	}
}

// reserve reserves an idle connection to a server, or the capacity for a new one. An idle connection may have a part of
// its reuse delay left. At the connection limit reserve makes room by closing an idle connection to any server. Its error
// is errUnknownServer or errPoolExhausted.
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
	if conn, wait := p.takeSettlingLocked(target); conn != nil {
		return reservation{server: target, idle: conn, wait: wait}, nil
	}
	if p.open >= p.config.MaxOpen && !p.evictLocked() {
		return reservation{}, errPoolExhausted
	}
	p.open++
	return reservation{server: target}, nil
}

// cancelReservation frees the capacity for a connection that could not be opened.
func (p *Pool) cancelReservation() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// takeIdleLocked removes an idle connection from the pool and returns it, or nil if there is none.
// It takes the connection that was released last, among those idle for at least the reuse delay.
func (p *Pool) takeIdleLocked(target *server) *connection {
	delay := p.reuseDelayLocked(target)
	for i, conn := range slices.Backward(target.idle) {
		idleFor := time.Since(conn.idleSince)
		if idleFor < delay {
			continue
		}
		target.idle = slices.Delete(target.idle, i, i+1)
		// The server may have closed a connection that was idle for longer. A request written
		// to a closed connection would count as possibly executed.
		if idleFor <= p.maxIdleTime {
			return conn
		}
		p.closeLocked(conn)
	}
	return nil
}

// evictLocked closes the connection that has been idle for the longest time. It returns false if
// no connection is idle.
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

// release returns a connection to the pool. The pool closes it if it is not reusable, if its server
// was removed, or if the server already has maxIdlePerServer idle connections. Otherwise the pool
// keeps it for another request.
func (p *Pool) release(conn *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	target := conn.server
	if conn.surplus {
		p.recordSurplusLocked(target)
	}
	if !conn.reusable || target.removed || len(target.idle) >= maxIdlePerServer {
		p.closeLocked(conn)
		return
	}
	conn.reused = true
	conn.idleSince = time.Now()
	target.idle = append(target.idle, conn)
}

// closeLocked closes a connection and frees its capacity. If its request is unfinished, it withdraws what has not been
// delivered to the server.
func (p *Pool) closeLocked(conn *connection) {
	p.open--
	if conn.unfinished {
		conn.abort()
		return
	}
	conn.closeInOrder()
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		p.closeIdleLocked(s)
	}
}

// closeIdleLocked closes the idle connections to a server.
func (p *Pool) closeIdleLocked(s *server) {
	for _, conn := range s.idle {
		p.closeLocked(conn)
	}
	s.idle = nil
}
