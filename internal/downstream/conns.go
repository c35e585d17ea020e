// Package downstream owns the client connections of a node: how many are open,
// which of them are evicted for new ones, when their sockets are read, and whether
// a client has disconnected. It parses no request and decides about none; all it knows
// of a request is where it begins and ends.
//
// Package node calls it. It serves HTTP on the Listener of a Conns, passes on net/http's
// callback ConnState, calls Conn.RequestComplete once a request is read, and calls
// Listener.StopAccepting, Conns.Drain and Conns.Shutdown at the node's end. In between each
// Conn passes through the states of connState; Read, an eviction and a shutdown may
// change a connection at any time, always under the lock of its Conns.
package downstream

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// DefaultLingerTimeout is how long a client may take to close a connection after
// its last response.
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

	mu        sync.Mutex
	open      int       // connections that are admitted and not closed
	active    int       // those in stateActive
	noData    connQueue // those in stateNoData
	partial   connQueue // those in stateReadingHead or stateReadingBody
	idle      connQueue // those in stateIdle
	lingering connQueue // those in stateLingering
	stage     shutdownStage
	changed   chan struct{} // closed at the next change; nil if nobody waits for it

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
// the head of a request has been read and when a response is complete.
func (cs *Conns) ConnState(netConn net.Conn, state http.ConnState) {
	c, ok := netConn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		cs.mu.Lock()
		cs.completeHead(c)
		cs.mu.Unlock()
	case http.StateIdle:
		cs.mu.Lock()
		closed := cs.completeResponse(c)
		cs.mu.Unlock()
		if closed {
			_ = c.Conn.Close() // net/http finds out when it reads
		}
	case http.StateNew, http.StateClosed, http.StateHijacked: // the set does not need them
	}
}
