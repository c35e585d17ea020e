// Package downstream owns the client connections of a node: their number, which
// of them make room for others, what is read from them and when, and whether a
// client has disconnected. It knows nothing of requests but where one begins and
// ends.
package downstream

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"calicohinge/internal/sockstate"
)

const (
	// DefaultLingerTimeout is how long a client may take to close a connection whose last answer is out.
	DefaultLingerTimeout = 500 * time.Millisecond
)

// Config is what Conns is told at its creation.
type Config struct {
	MaxOpen int // connections
	Reserve int // further ones that are answered with a rejection while all others are at work
	// MaxReadAhead bounds what is kept of a client that sends on while its request is at
	// work, in bytes: one more request of the largest kind. Clients ask one at a time.
	MaxReadAhead  int
	ReadTimeout   time.Duration // from a request's first byte to its last
	LingerTimeout time.Duration // see DefaultLingerTimeout
}

// Conns keeps the number of client connections under a cap. Over it, those
// make room that say nothing, then the longest idle ones, then those that don't say
// all: a flood of them must not turn away clients that ask. Idle ones go at once: to
// wait for them to age would hold up all that come behind, to the end of their time.
// A newcomer waits only while one of the others is about to come of age. Where all are
// at work it is answered with a refusal, as long as spare descriptors last.
type Conns struct {
	config            Config
	changed           chan struct{} // poked when one ends or changes its phase
	listenerClosed    chan struct{} // closed with the listener
	closeListenerOnce sync.Once

	mu             sync.Mutex
	open           int
	silent         list.List // of *Conn that has sent nothing yet, the longest first
	partial        list.List // the same of those with a part of a request
	idle           list.List // and of those between two requests
	draining       bool
	readingStopped bool // nothing is read any more
}

// NewConns makes an empty set of connections.
func NewConns(config Config) *Conns {
	return &Conns{config: config, changed: make(chan struct{}, 1), listenerClosed: make(chan struct{})}
}

// Open counts the connections.
func (cs *Conns) Open() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.open
}

// close bars a connection from being read, once, and gives its place back; cs.mu is
// held. The caller closes the socket with the lock released.
func (cs *Conns) close(c *Conn) bool {
	if c.closed {
		return false
	}
	c.closed = true
	c.readAhead = nil
	cs.open--
	cs.move(c, nil)
	return true
}

// closeIdle is shut for a connection between two requests, unless its client has
// asked again: that request is taken.
func (cs *Conns) closeIdle(c *Conn) bool {
	if sockstate.Peek(c.Conn) == sockstate.Readable {
		cs.move(c, &cs.partial)
		return false
	}
	return cs.close(c)
}

// move puts a connection into a list, or nil for one at work; cs.mu is held.
func (cs *Conns) move(c *Conn, to *list.List) {
	if c.queue == &cs.idle && to == &cs.partial { // net/http waits for four bytes in the idle time
		c.SetReadDeadline(time.Now().Add(cs.config.ReadTimeout))
	}
	if c.queue != nil {
		c.queue.Remove(c.element)
	}
	c.queue, c.element, c.since = to, nil, time.Now()
	c.readingHead = to == &cs.partial
	if to != nil {
		c.element = to.PushBack(c)
	}
	select {
	case cs.changed <- struct{}{}:
	default:
	}
}

// ConnState follows which connections are between two requests, and whose next head is read.
func (cs *Conns) ConnState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*Conn)
	switch {
	case !ok:
	case s == http.StateActive:
		cs.mu.Lock()
		defer cs.mu.Unlock()
		c.readingHead = false
	case s == http.StateIdle && cs.requestFinished(c):
		c.Conn.Close()
	}
}

// requestFinished takes note that a request is over; true if the connection is to be closed.
func (cs *Conns) requestFinished(c *Conn) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	switch {
	case c.closed:
	case len(c.readAhead) > 0: // the next request, or a part of it
		cs.move(c, &cs.partial)
	case cs.draining:
		return cs.closeIdle(c)
	default:
		cs.move(c, &cs.idle)
	}
	return false
}
