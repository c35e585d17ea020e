// Package downstream owns the client connections of a node: how many are open,
// which of them are evicted for new ones, when their sockets are read, and whether
// a client has disconnected. Package node calls it: it serves HTTP on the listener
// of Conns and notifies each Conn when a request is complete. This package parses
// no request and decides about none; all it knows of a request is where it begins
// and ends.
package downstream

import (
	"net"
	"net/http"
	"sync"
	"time"

	"calicohinge/internal/sockstate"
)

// DefaultLingerTimeout is how long a client may take to close a connection after
// its last answer.
const DefaultLingerTimeout = 500 * time.Millisecond

// Config holds the limits of a set of connections.
type Config struct {
	// MaxOpen is the number of connections from which on a new one evicts another.
	MaxOpen int
	// Reserve is the number of connections accepted beyond MaxOpen while all others
	// are active. Their requests are to be rejected, see Conn.OverLimit.
	Reserve int
	// MaxReadAhead bounds what is buffered of a client that sends on while its
	// request is active, in bytes. It has to hold one more request of the largest
	// kind; a client that sends more is treated as disconnected.
	MaxReadAhead int
	// ReadTimeout is the time from the first to the last byte of a request.
	ReadTimeout time.Duration
	// LingerTimeout bounds Conn.LingeringClose, see DefaultLingerTimeout.
	LingerTimeout time.Duration
}

// Conns is the set of a node's client connections. It is safe for concurrent use.
type Conns struct {
	config         Config
	listenerClosed chan struct{} // closed with the listener

	mu       sync.Mutex
	open     int           // connections that are admitted and not closed
	active   int           // those in phaseActive
	silent   connQueue     // those in phaseSilent
	partial  connQueue     // those in phaseReadingHead or phaseReadingBody
	idle     connQueue     // those in phaseIdle
	linger   connQueue     // those in phaseLingering
	draining bool          // connections are closed instead of falling idle
	closing  bool          // they are closed as soon as no request is being read or answered
	changed  chan struct{} // closed at the next change; nil if nobody waits for it

	evicted, incomplete int // see Stats
}

// NewConns returns an empty set of connections.
func NewConns(config Config) *Conns {
	return &Conns{config: config, listenerClosed: make(chan struct{})}
}

// Open returns the number of open connections.
func (cs *Conns) Open() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.open
}

// ConnState is the callback for http.Server.ConnState. From it the set learns when
// the head of a request has been read and when an answer is complete.
func (cs *Conns) ConnState(netConn net.Conn, state http.ConnState) {
	c, ok := netConn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		cs.headComplete(c)
	case http.StateIdle:
		if cs.requestFinished(c) {
			_ = c.Conn.Close() // net/http finds out when it reads
		}
	}
}

// headComplete records that net/http has read the head of a request. A phase that
// counts from the first byte of the request goes on: c keeps its place in the queue.
func (cs *Conns) headComplete(c *Conn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if c.phase == phaseReadingHead {
		c.phase = phaseReadingBody
	}
}

// requestFinished records that an answer is complete. It returns true if the
// connection was marked closed and the caller has to close its socket.
func (cs *Conns) requestFinished(c *Conn) (closed bool) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.queueTime = 0
	switch {
	case c.phase == phaseClosed:
		return false
	case len(c.readAhead) > 0: // the next request, or a part of it
		cs.setPhase(c, phaseReadingHead)
		return false
	case cs.draining:
		return cs.closeIdle(c)
	default:
		cs.setPhase(c, phaseIdle)
		return false
	}
}

// close marks c closed, so that it is not read any more, and stops counting it. It
// returns false if c was marked before. The caller holds cs.mu and closes the socket
// after releasing it: closing waits for a reader, which may be waiting for cs.mu.
func (cs *Conns) close(c *Conn) bool {
	if c.phase == phaseClosed {
		return false
	}
	c.readAhead = nil
	cs.open--
	cs.setPhase(c, phaseClosed)
	return true
}

// closeIdle is close for a connection between two requests. If the client has sent
// bytes of its next request, the connection stays open and that request is read.
// The caller holds cs.mu.
func (cs *Conns) closeIdle(c *Conn) bool {
	if sockstate.Peek(c.Conn) == sockstate.Readable {
		cs.setPhase(c, phaseReadingHead)
		return false
	}
	return cs.close(c)
}
