package downstream

import (
	"container/list"
	"time"
)

// phase is what a connection is doing at the moment.
type phase int

// The phases of a connection.
const (
	phaseNew         phase = iota // accepted, but not admitted yet
	phaseSilent                   // admitted; the client has sent nothing yet
	phaseReadingHead              // the head of a request is being read
	phaseReadingBody              // net/http has the head; the rest of the request is being read
	phaseActive                   // the request is complete and its answer is not
	phaseLingering                // the last answer is sent; nothing is read any more
	phaseIdle                     // between two requests
	phaseClosed                   // closed by this node; not counted any more
)

// String names the phase.
func (p phase) String() string {
	switch p {
	case phaseNew:
		return "new"
	case phaseSilent:
		return "silent"
	case phaseReadingHead:
		return "reading head"
	case phaseReadingBody:
		return "reading body"
	case phaseActive:
		return "active"
	case phaseLingering:
		return "lingering"
	case phaseIdle:
		return "idle"
	case phaseClosed:
		return "closed"
	}
	return "unknown"
}

// connQueue lists connections in the order in which they were added.
type connQueue struct {
	conns list.List // of *Conn
}

// oldest returns the connection that was added first; nil if there is none.
func (q *connQueue) oldest() *Conn {
	if front := q.conns.Front(); front != nil {
		return front.Value.(*Conn)
	}
	return nil
}

// queue returns the queue of the connections that are in p; nil if p has none, as
// such connections are not evicted. The caller holds cs.mu.
func (cs *Conns) queue(p phase) *connQueue {
	switch p {
	case phaseSilent:
		return &cs.silent
	case phaseReadingHead, phaseReadingBody:
		return &cs.partial
	case phaseIdle:
		return &cs.idle
	case phaseLingering:
		return &cs.linger
	default:
		return nil
	}
}

// setPhase begins a phase of c, puts c at the end of that phase's queue and wakes
// those that wait for a change. The caller holds cs.mu.
func (cs *Conns) setPhase(c *Conn, next phase) {
	if c.phase == phaseIdle && next == phaseReadingHead {
		// net/http applies the read timeout only once it has four bytes of the
		// request; until then the deadline is still that of the idle timeout. An
		// error means that the connection is closed, which its reader finds out.
		_ = c.SetReadDeadline(time.Now().Add(cs.config.ReadTimeout))
	}
	if c.element != nil {
		cs.queue(c.phase).conns.Remove(c.element)
		c.element = nil
	}
	if c.phase == phaseActive {
		cs.active--
	}
	if next == phaseActive {
		cs.active++
	}
	c.phase, c.since = next, time.Now()
	if queue := cs.queue(next); queue != nil {
		c.element = queue.conns.PushBack(c)
	}
	cs.notify()
}

// notify wakes all that wait for a change. The caller holds cs.mu.
func (cs *Conns) notify() {
	if cs.changed != nil {
		close(cs.changed)
		cs.changed = nil
	}
}

// nextChange returns a channel that is closed at the next change of any connection. The
// caller holds cs.mu, so that it misses none after what it has seen.
func (cs *Conns) nextChange() <-chan struct{} {
	if cs.changed == nil {
		cs.changed = make(chan struct{})
	}
	return cs.changed
}
