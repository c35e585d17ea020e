// Package downstream manages the client connections of a node: it limits the number of open
// connections, evicts connections to make room for new ones, controls when sockets are read, and
// detects client disconnects. It does not parse requests or decide how they are handled; it only
// tracks where each request begins and ends.
//
// Package node serves HTTP on the Listener of a Conns, forwards net/http's ConnState callback,
// calls Conn.MarkRequestRead when a request has been read, and calls Listener.StopAccepting,
// Conns.Drain and Conns.Shutdown when the node shuts down. Each Conn moves through the states of
// connState. Reads, evictions and the shutdown may change a connection at any time, always with
// the lock of its Conns held.
package downstream

import (
	"net"
	"net/http"
	"sync"
	"time"

	"calicohinge/internal/memorybudget"
	"calicohinge/internal/throttle"
)

// DefaultLingerTimeout is the time allowed for a client to close its connection after the last
// response.
const DefaultLingerTimeout = 500 * time.Millisecond

// Config holds the limits of a set of connections.
type Config struct {
	// MaxOpen is the number of open connections at which accepting a new one evicts another.
	MaxOpen int
	// ReservedConns is the number of connections accepted beyond MaxOpen while all open connections
	// are active. Their requests must be rejected, see Conn.OverLimit.
	ReservedConns int
	// MaxReadAheadBytes is the maximum number of bytes buffered for a client that keeps sending while
	// its request is active. The rest stays unread.
	MaxReadAheadBytes int
	// ReceiveMemory is the memory for heads that exceed headAllowance, and for bytes read ahead that exceed
	// readAheadChunkSize, of all connections together.
	ReceiveMemory *memorybudget.Budget
	// ReadTimeout is the time allowed between the first and the last byte of a request.
	ReadTimeout time.Duration
	// LingerTimeout is the longest time that Conn.LingeringClose waits, see DefaultLingerTimeout.
	LingerTimeout time.Duration
}

// Conns is the set of a node's client connections. It is safe for concurrent use.
type Conns struct {
	config         Config
	listenerClosed chan struct{} // closed when the listener is closed
	throttle       *throttle.Throttle

	mu        sync.Mutex
	open      int       // number of connections that are admitted and not closed
	active    int       // number of connections in stateAwaitingMemory or stateActive
	noData    connQueue // connections in stateNoData
	partial   connQueue // connections in stateReadingHead or stateReadingBody
	idle      connQueue // connections in stateIdle
	lingering connQueue // connections in stateLingering
	stage     shutdownStage
	changed   chan struct{} // closed at the next change of a connection; nil if no goroutine waits for it

	evicted, incomplete int // counts for Stats
	local               localResponseCounter
}

// NewConns returns an empty set of connections.
func NewConns(config Config) *Conns {
	return &Conns{
		config: config, listenerClosed: make(chan struct{}), throttle: throttle.New(localResponseLimits()),
	}
}

// Open returns the number of open connections.
func (cs *Conns) Open() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.open
}

// HandleConnState is the callback for http.Server.ConnState, which reports when the head of a request
// has been read and when a response is complete.
func (cs *Conns) HandleConnState(netConn net.Conn, state http.ConnState) {
	c, ok := netConn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		cs.mu.Lock()
		cs.markHeadRead(c)
		cs.mu.Unlock()
	case http.StateIdle:
		cs.mu.Lock()
		closed := cs.completeResponse(c)
		cs.mu.Unlock()
		if closed {
			_ = c.Conn.Close() // net/http gets an error from its next read
		}
	case http.StateNew, http.StateClosed, http.StateHijacked: // no effect on connState
	}
}
