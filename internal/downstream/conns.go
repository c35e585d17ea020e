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
	// silentGrace is how long a new connection that says nothing is kept where
	// others want its place. A client connects because it has something to ask.
	silentGrace = 20 * time.Millisecond
	// partGrace is the same for one that has sent a part of a request.
	partGrace = 150 * time.Millisecond
	// DefaultLingerTimeout is how long a client may take to close a connection whose last answer is out.
	DefaultLingerTimeout = 500 * time.Millisecond
)

var errTooFarAhead = errors.New("more than a whole request came ahead of an answer")

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
	config  Config
	changed chan struct{} // poked when one ends or changes its phase
	ended   chan struct{} // closed with the listener
	endOnce sync.Once

	mu       sync.Mutex
	open     int
	silent   list.List // of *Conn that has sent nothing yet, the longest first
	partial  list.List // the same of those with a part of a request
	idle     list.List // and of those between two requests
	draining bool
	ending   bool // nothing is read any more
}

// NewConns makes an empty set of connections.
func NewConns(config Config) *Conns {
	return &Conns{config: config, changed: make(chan struct{}, 1), ended: make(chan struct{})}
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
	raw   syscall.RawConn
	conns *Conns
	over  bool // accepted over the cap

	// The fields below are guarded by conns.mu.
	in    *list.List
	place *list.Element
	since time.Time // in this list
	ahead []byte    // what came while it was at work
	ended error     // what reading met when the client left
	last  bool      // it has had its last answer: nothing is read any more
	shut  bool
	head  bool // the head of a request is being read
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
	if c.shut {
		return 0, true, net.ErrClosed
	}
	// By reading a single byte net/http watches for the client's leaving, from a request's last
	// byte on: a body is read in larger pieces. It may come before RequestComplete is called.
	if c.in == nil || len(p) == 1 && !c.head {
		switch {
		case c.last && sockstate.Peek(c.Conn) == sockstate.Closed:
			return 0, true, io.EOF
		case !c.last && !cs.ending:
			c.pull(fd)
		}
		return 0, c.ended != nil, c.ended
	}
	switch {
	case len(c.ahead) > 0: // was taken, and is answered also by a node that ends
		n = copy(p, c.ahead)
		if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
			c.ahead = nil
		}
	case c.ended != nil:
		return 0, true, c.ended
	case cs.ending:
		return 0, true, net.ErrClosed
	default:
		if n, err = readNow(fd, p); err != nil {
			c.ended = err
			return 0, true, err
		}
	}
	if n > 0 && (c.in == &cs.silent || c.in == &cs.idle) {
		cs.move(c, &cs.partial)
	}
	return n, n > 0, nil
}

// pull takes in what came while a request is at work; conns.mu is held.
func (c *Conn) pull(fd int) {
	var p [4096]byte
	for c.ended == nil {
		n, err := readNow(fd, p[:])
		switch c.ahead = append(c.ahead, p[:n]...); {
		case err != nil:
			c.ended = err
		case len(c.ahead) > c.conns.config.MaxReadAhead:
			c.ended = errTooFarAhead
		case n == 0:
			return
		}
	}
}

// readNow reads without waiting: 0 and no error if nothing is there.
func readNow(fd int, p []byte) (int, error) {
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
	case c.shut || c.ended != nil:
		return true
	case c.in != nil:
		return false // its attempts are revoked
	case c.conns.ending:
		return sockstate.Peek(c.Conn) == sockstate.Closed
	}
	if err := c.raw.Control(func(fd uintptr) { c.pull(int(fd)) }); err != nil {
		return true
	}
	return c.ended != nil
}

// OverLimit reports whether the connection was accepted over the limit.
func (c *Conn) OverLimit() bool { return c.over }

// Closed reports whether the connection has been closed by this node.
func (c *Conn) Closed() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.shut
}

// Lingering reports whether the connection has had its last answer.
func (c *Conn) Lingering() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.last
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.conns.mu.Lock()
	first := c.conns.shut(c)
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
	c.last = true
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
	if !c.shut {
		c.conns.move(c, nil)
	}
}

// shut bars a connection from being read, once, and gives its place back; cs.mu is
// held. The caller closes the socket with the lock released.
func (cs *Conns) shut(c *Conn) bool {
	if c.shut {
		return false
	}
	c.shut = true
	c.ahead = nil
	cs.open--
	cs.move(c, nil)
	return true
}

// shutIdle is shut for a connection between two requests, unless its client has
// asked again: that request is taken.
func (cs *Conns) shutIdle(c *Conn) bool {
	if sockstate.Peek(c.Conn) == sockstate.Readable {
		cs.move(c, &cs.partial)
		return false
	}
	return cs.shut(c)
}

// move puts a connection into a list, or nil for one at work; cs.mu is held.
func (cs *Conns) move(c *Conn, to *list.List) {
	if c.in == &cs.idle && to == &cs.partial { // net/http waits for four bytes in the idle time
		c.SetReadDeadline(time.Now().Add(cs.config.ReadTimeout))
	}
	if c.in != nil {
		c.in.Remove(c.place)
	}
	c.in, c.place, c.since = to, nil, time.Now()
	c.head = to == &cs.partial
	if to != nil {
		c.place = to.PushBack(c)
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
		c.head = false
	case s == http.StateIdle && cs.rest(c):
		c.Conn.Close()
	}
}

// rest takes note that a request is over; true if the connection is to be closed.
func (cs *Conns) rest(c *Conn) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	switch {
	case c.shut:
	case len(c.ahead) > 0: // the next request, or a part of it
		cs.move(c, &cs.partial)
	case cs.draining:
		return cs.shutIdle(c)
	default:
		cs.move(c, &cs.idle)
	}
	return false
}

// oldest gives the connection that has to make room first, and in how long it
// may be asked to; nil if all are at work. cs.mu is held.
func (cs *Conns) oldest() (first *Conn, wait time.Duration) {
	now := time.Now()
	for e := cs.silent.Front(); e != nil; e = cs.silent.Front() {
		c := e.Value.(*Conn)
		if now.Sub(c.since) < silentGrace || sockstate.Peek(c.Conn) == sockstate.Quiet {
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
	}{{&cs.silent, silentGrace}, {&cs.idle, 0}, {&cs.partial, partGrace}} {
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
		first, wait := cs.oldest()
		if first == nil {
			if cs.open >= cs.config.MaxOpen+cs.config.Reserve {
				return nil
			}
			c.over = true
			break
		}
		if wait <= 0 {
			cs.shut(first)
			cs.mu.Unlock()
			first.Conn.Close()
			cs.mu.Lock()
			continue
		}
		cs.mu.Unlock()
		stopped := cs.pause(wait)
		cs.mu.Lock()
		if stopped {
			return nil
		}
	}
	cs.open++
	cs.move(c, &cs.silent)
	return c
}

// pause waits until something changes, for so long at most; true if the listener ended.
func (cs *Conns) pause(most time.Duration) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-cs.changed:
	case <-cs.ended:
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
		if c := e.Value.(*Conn); cs.shutIdle(c) {
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
	cs.ending = true
}

// Listener returns a listener that admits what inner accepts.
func (cs *Conns) Listener(inner net.Listener) net.Listener { return cappedListener{inner, cs} }

// cappedListener counts what it accepts.
type cappedListener struct {
	net.Listener
	conns *Conns
}

// Accept implements net.Listener.
func (l cappedListener) Accept() (net.Conn, error) {
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
func (l cappedListener) Close() error {
	l.conns.endOnce.Do(func() { close(l.conns.ended) })
	return l.Listener.Close()
}
