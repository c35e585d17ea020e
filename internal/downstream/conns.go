// Package downstream owns the client connections of a node: their number, which
// of them make room for others, what is read from them and when, and whether a
// client has disconnected. It knows nothing of requests but where one begins and
// ends.
package downstream

import (
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"calicohinge/internal/sockstate"
)

const (
	// silentGracePeriod is how long a new connection that says nothing is kept where
	// others want its place. A client connects because it has something to ask.
	silentGracePeriod = 20 * time.Millisecond
	// partialGracePeriod is the same for one that has sent a part of a request.
	partialGracePeriod = 150 * time.Millisecond
	// DefaultLingerTimeout is how long a client may take to close a connection whose last answer is out.
	DefaultLingerTimeout = 500 * time.Millisecond
)

var errReadAheadFull = errors.New("more than a whole request came ahead of an answer")

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

// Conn is a connection that counts. It is in one of the lists, or at work.
type Conn struct {
	net.Conn
	raw       syscall.RawConn
	conns     *Conns
	overLimit bool // accepted over the cap

	// The fields below are guarded by conns.mu.
	queue       *list.List
	element     *list.Element
	since       time.Time // in this list
	readAhead   []byte    // what came while it was at work
	readErr     error     // what reading met when the client left
	lingering   bool      // it has had its last answer: nothing is read any more
	closed      bool
	readingHead bool // the head of a request is being read
}

// Read implements net.Conn. The bytes leave the socket under the same lock as the
// connection is shut: one that was shut is not read any more, and one that was read
// is not shut as idle. While a request is at work no byte is handed on: that would
// end net/http's reading, by which it sees the client leave.
func (c *Conn) Read(p []byte) (n int, err error) {
	waiting := c.raw.Read(func(fd uintptr) (done bool) {
		n, done, err = c.receive(int(fd), p)
		return done
	})
	if waiting != nil {
		return 0, waiting
	}
	return n, err
}

// receive reads what is there; not done if there is nothing yet.
func (c *Conn) receive(fd int, p []byte) (n int, done bool, err error) {
	cs := c.conns
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if c.closed {
		return 0, true, net.ErrClosed
	}
	// By reading a single byte net/http watches for the client's leaving, from a request's last
	// byte on: a body is read in larger pieces. It may come before RequestComplete is called.
	if c.queue == nil || len(p) == 1 && !c.readingHead {
		switch {
		case c.lingering && sockstate.Peek(c.Conn) == sockstate.Closed:
			return 0, true, io.EOF
		case !c.lingering && !cs.readingStopped:
			c.fillReadAhead(fd)
		}
		return 0, c.readErr != nil, c.readErr
	}
	switch {
	case len(c.readAhead) > 0: // was taken, and is answered also by a node that ends
		n = copy(p, c.readAhead)
		if c.readAhead = c.readAhead[n:]; len(c.readAhead) == 0 {
			c.readAhead = nil
		}
	case c.readErr != nil:
		return 0, true, c.readErr
	case cs.readingStopped:
		return 0, true, net.ErrClosed
	default:
		if n, err = readNonBlocking(fd, p); err != nil {
			c.readErr = err
			return 0, true, err
		}
	}
	if n > 0 && (c.queue == &cs.silent || c.queue == &cs.idle) {
		cs.move(c, &cs.partial)
	}
	return n, n > 0, nil
}

// fillReadAhead takes in what came while a request is at work; conns.mu is held.
func (c *Conn) fillReadAhead(fd int) {
	var p [4096]byte
	for c.readErr == nil {
		n, err := readNonBlocking(fd, p[:])
		switch c.readAhead = append(c.readAhead, p[:n]...); {
		case err != nil:
			c.readErr = err
		case len(c.readAhead) > c.conns.config.MaxReadAhead:
			c.readErr = errReadAheadFull
		case n == 0:
			return
		}
	}
}

// readNonBlocking reads without waiting: 0 and no error if nothing is there.
func readNonBlocking(fd int, p []byte) (int, error) {
	for {
		switch n, err := syscall.Read(fd, p); {
		case err == syscall.EINTR:
		case err == syscall.EAGAIN:
			return 0, nil
		case err != nil:
			return 0, os.NewSyscallError("read", err)
		case n == 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}

// ClientDisconnected tells whether the client of the request at work has left, by what its socket
// says this moment, however busy the node is and whatever bytes lie ahead. Nothing is read
// that may be a request to come once this one has its answer, or in the end of a stop.
func (c *Conn) ClientDisconnected() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	switch {
	case c.closed || c.readErr != nil:
		return true
	case c.queue != nil:
		return false // its attempts are revoked
	case c.conns.readingStopped:
		return sockstate.Peek(c.Conn) == sockstate.Closed
	}
	if err := c.raw.Control(func(fd uintptr) { c.fillReadAhead(int(fd)) }); err != nil {
		return true
	}
	return c.readErr != nil
}

// OverLimit reports whether the connection was accepted over the limit.
func (c *Conn) OverLimit() bool { return c.overLimit }

// Closed reports whether the connection has been closed by this node.
func (c *Conn) Closed() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.closed
}

// Lingering reports whether the connection has had its last answer.
func (c *Conn) Lingering() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.lingering
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.conns.mu.Lock()
	first := c.conns.close(c)
	c.conns.mu.Unlock()
	if !first {
		return nil
	}
	return c.Conn.Close() // with no lock: it waits for a reader, which waits for the lock
}

// CloseWrite lets a client that still sends see the end of its answer.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// LingeringClose ends the sending behind a last answer and waits for the client's close, for a
// while. A close of ours over bytes that arrive is a reset: what of the answer is on its way is lost.
func (c *Conn) LingeringClose(ctx context.Context) {
	c.conns.mu.Lock()
	c.lingering = true
	c.conns.mu.Unlock()
	c.CloseWrite()
	select {
	case <-ctx.Done():
	case <-time.After(c.conns.config.LingerTimeout):
	}
}

// RequestComplete tells that a request has come to its last byte.
func (c *Conn) RequestComplete() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if !c.closed {
		c.conns.move(c, nil)
	}
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

// evictionCandidate gives the connection that has to make room first, and in how long it
// may be asked to; nil if all are at work. cs.mu is held.
func (cs *Conns) evictionCandidate() (first *Conn, wait time.Duration) {
	now := time.Now()
	for e := cs.silent.Front(); e != nil; e = cs.silent.Front() {
		c := e.Value.(*Conn)
		if now.Sub(c.since) < silentGracePeriod || sockstate.Peek(c.Conn) == sockstate.Quiet {
			break
		}
		cs.move(c, &cs.partial) // it has spoken: this node was too busy to listen
	}
	for e := cs.idle.Front(); e != nil; e = cs.idle.Front() {
		c := e.Value.(*Conn)
		if sockstate.Peek(c.Conn) != sockstate.Readable {
			break
		}
		cs.move(c, &cs.partial)
	}
	for _, l := range []struct {
		conns *list.List
		grace time.Duration
	}{{&cs.silent, silentGracePeriod}, {&cs.idle, 0}, {&cs.partial, partialGracePeriod}} {
		if e := l.conns.Front(); e != nil {
			c := e.Value.(*Conn)
			if left := l.grace - now.Sub(c.since); first == nil || left < wait {
				first, wait = c, left
			}
			if wait <= 0 {
				break
			}
		}
	}
	return first, wait
}

// admit counts a new connection; nil if there is no place for it.
func (cs *Conns) admit(nc net.Conn) *Conn {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	c := &Conn{Conn: nc, raw: raw, conns: cs}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for cs.open >= cs.config.MaxOpen {
		first, wait := cs.evictionCandidate()
		if first == nil {
			if cs.open >= cs.config.MaxOpen+cs.config.Reserve {
				return nil
			}
			c.overLimit = true
			break
		}
		if wait <= 0 {
			cs.close(first)
			cs.mu.Unlock()
			first.Conn.Close()
			cs.mu.Lock()
			continue
		}
		cs.mu.Unlock()
		stopped := cs.waitForChange(wait)
		cs.mu.Lock()
		if stopped {
			return nil
		}
	}
	cs.open++
	cs.move(c, &cs.silent)
	return c
}

// waitForChange waits until something changes, for so long at most; true if the listener ended.
func (cs *Conns) waitForChange(most time.Duration) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-cs.changed:
	case <-cs.listenerClosed:
		return true
	}
	return false
}

// Drain closes connections as they fall idle and waits until none is left.
func (cs *Conns) Drain(ctx context.Context) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.draining = true
	for e := cs.idle.Front(); e != nil; e = cs.idle.Front() {
		if c := e.Value.(*Conn); cs.closeIdle(c) {
			cs.mu.Unlock()
			c.Conn.Close()
			cs.mu.Lock()
		}
	}
	for cs.open > 0 && ctx.Err() == nil {
		cs.mu.Unlock()
		select {
		case <-cs.changed:
		case <-ctx.Done():
		}
		cs.mu.Lock()
	}
}

// StopReading has nothing read any more: what was not read by then is not taken, and its client
// asks elsewhere. What was read is still answered.
func (cs *Conns) StopReading() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.readingStopped = true
}

// Listener returns a listener that admits what inner accepts.
func (cs *Conns) Listener(inner net.Listener) net.Listener { return admittingListener{inner, cs} }

// admittingListener counts what it accepts.
type admittingListener struct {
	net.Listener
	conns *Conns
}

// Accept implements net.Listener.
func (l admittingListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.conns.admit(nc); c != nil {
			return c, nil
		}
		nc.Close()
	}
}

// Close implements net.Listener.
func (l admittingListener) Close() error {
	l.conns.closeListenerOnce.Do(func() { close(l.conns.listenerClosed) })
	return l.Listener.Close()
}
