package downstream

import "time"

// connState is what a connection is doing at the moment. Conns.mu guards it; the methods
// of Conns in this file make every transition.
//
//	transition        from                  to           made when
//	addConn           accepted              noData       Listener.Accept has admitted the connection
//	beginRequest      noData, idle          readingHead  bytes of a request have arrived
//	completeHead      readingHead           readingBody  net/http has the head (Conns.ConnState, StateActive)
//	completeRequest   any but closed        active       the request is complete (Conn.RequestComplete)
//	completeResponse  any but closed        idle         the response is complete (Conns.ConnState, StateIdle)
//	                                        readingHead  the same, and bytes of the next request have arrived
//	                                        closed       the same, in stageDraining or later
//	beginLingering    any but closed        lingering    the last response is sent (Conn.LingeringClose)
//	markClosed        any but closed        closed       net/http closes it (Conn.Close), or it is evicted,
//	                                                     drained or shut down
//
// A connection usually passes through readingHead, readingBody, active and idle once for
// each of its requests.
type connState int

// The states of a connection.
const (
	stateAccepted    connState = iota // not admitted yet, and not counted
	stateNoData                       // admitted; the client has sent no data yet
	stateReadingHead                  // the head of a request is being read
	stateReadingBody                  // net/http has the head; the rest of the request is being read
	stateActive                       // the request is complete and its response is not
	stateLingering                    // the last response is sent; nothing is read any more
	stateIdle                         // between two requests
	stateClosed                       // closed by this node; not counted any more
)

// String names the state.
func (s connState) String() string {
	switch s {
	case stateAccepted:
		return "accepted"
	case stateNoData:
		return "no data yet"
	case stateReadingHead:
		return "reading head"
	case stateReadingBody:
		return "reading body"
	case stateActive:
		return "active"
	case stateLingering:
		return "lingering"
	case stateIdle:
		return "idle"
	case stateClosed:
		return "closed"
	}
	return "unknown"
}

// awaitsRequest reports whether no byte of the next request has been read.
func (s connState) awaitsRequest() bool { return s == stateNoData || s == stateIdle }

// addConn makes c one of the set's connections. The caller holds cs.mu.
func (cs *Conns) addConn(c *Conn) {
	cs.open++
	cs.setState(c, stateNoData)
}

// beginRequest records that bytes of a request have arrived. The caller holds cs.mu.
func (cs *Conns) beginRequest(c *Conn) {
	if c.state == stateIdle {
		// net/http applies the read timeout only once it has four bytes of the
		// request; until then the deadline is still that of the idle timeout. An
		// error means that the connection is closed, which its reader finds out.
		_ = c.SetReadDeadline(time.Now().Add(cs.config.ReadTimeout))
	}
	cs.setState(c, stateReadingHead)
}

// completeHead records that net/http has the head of a request. The grace period of an
// incomplete request goes on: c keeps its place in the queue. The caller holds cs.mu.
func (cs *Conns) completeHead(c *Conn) {
	if c.state == stateReadingHead {
		c.state = stateReadingBody
	}
}

// completeRequest records that a request was read to its last byte. The caller holds cs.mu.
func (cs *Conns) completeRequest(c *Conn) {
	if c.state != stateClosed {
		cs.setState(c, stateActive)
	}
}

// completeResponse records that the response to the present request is complete. If it returns
// true it has marked c closed, and the caller closes the socket, see markClosed. The caller
// holds cs.mu.
func (cs *Conns) completeResponse(c *Conn) bool {
	c.queueTime = 0
	switch {
	case c.state == stateClosed:
		return false
	case len(c.readAhead) > 0: // the next request, or a part of it
		cs.beginRequest(c)
		return false
	case cs.stage >= stageDraining:
		return cs.markIdleClosed(c)
	default:
		cs.setState(c, stateIdle)
		return false
	}
}

// beginLingering records that the last response is sent. The caller holds cs.mu.
func (cs *Conns) beginLingering(c *Conn) {
	if c.state != stateClosed {
		cs.setState(c, stateLingering)
	}
}

// markClosed ends the reading and the counting of c. It returns false if c was marked before.
// The caller holds cs.mu. It closes the socket only after releasing cs.mu: closing waits for a
// reader, which may be waiting for cs.mu.
func (cs *Conns) markClosed(c *Conn) bool {
	if c.state == stateClosed {
		return false
	}
	c.readAhead = nil
	cs.open--
	cs.setState(c, stateClosed)
	return true
}

// markIdleClosed is markClosed for a connection between two requests. If the client has
// sent bytes of its next request, it begins that request instead and returns false. The
// caller holds cs.mu.
func (cs *Conns) markIdleClosed(c *Conn) bool {
	if c.hasUnreadBytes() {
		cs.beginRequest(c)
		return false
	}
	return cs.markClosed(c)
}

// setState puts c into a state, at the end of that state's queue, and wakes those that
// wait for a change. The caller holds cs.mu.
func (cs *Conns) setState(c *Conn, next connState) {
	if c.queueElement != nil {
		cs.queue(c.state).remove(c)
	}
	if c.state == stateActive {
		cs.active--
	}
	if next == stateActive {
		cs.active++
	}
	c.state, c.graceStart = next, time.Now()
	if queue := cs.queue(next); queue != nil {
		queue.add(c)
	}
	cs.wakeWaiters()
}
