package downstream

import "time"

// connState is the state of a connection. It is guarded by Conns.mu, and all transitions are made by
// the methods of Conns in this file.
//
//	transition        from                  to           made when
//	addConn           accepted              noData       Listener.Accept admits the connection
//	beginRequest      noData, idle          readingHead  bytes of a request have arrived
//	markHeadRead      readingHead           readingBody  net/http has read the head (Conns.HandleConnState, StateActive)
//	beginMemoryWait   readingBody           awaitingMemory
//	                                                     memory for the body is not free (Conn.BeginMemoryWait)
//	endMemoryWait     awaitingMemory        readingBody  it is free, or the request is rejected (Conn.EndMemoryWait)
//	markRequestRead   any but closed        active       the request has been read (Conn.MarkRequestRead)
//	completeResponse  any but closed        idle         the response is complete (Conns.HandleConnState, StateIdle)
//	                                        readingHead  the same, and bytes of the next request have arrived
//	                                        closed       the same, in stageDraining or later
//	beginLingering    any but closed        lingering    the last response has been sent (Conn.LingeringClose)
//	markClosed        any but closed        closed       net/http closes the connection (Conn.Close), or it is
//	                                                     evicted, drained or shut down
//
// A connection usually passes through readingHead, readingBody, active and idle once per request.
type connState int

// The states of a connection.
const (
	stateAccepted       connState = iota // not admitted yet and not counted in Conns.open
	stateNoData                          // admitted; the client has not sent any data
	stateReadingHead                     // the head of a request is being read
	stateReadingBody                     // net/http has read the head; the rest of the request is being read
	stateAwaitingMemory                  // net/http has read the head; the rest is read once memory is free
	stateActive                          // the request has been read; its response is not complete
	stateLingering                       // the last response has been sent; nothing more is read
	stateIdle                            // between two requests
	stateClosed                          // closed by this node and no longer counted in Conns.open
)

// String returns a description of the state for messages.
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
	case stateAwaitingMemory:
		return "awaiting memory"
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

// hasClaimToResponse reports whether the client is owed the response to a request: the connection is never evicted.
func (s connState) hasClaimToResponse() bool { return s == stateAwaitingMemory || s == stateActive }

// awaitsRequest reports whether no byte of the next request has been read yet.
func (s connState) awaitsRequest() bool { return s == stateNoData || s == stateIdle }

// addConn adds c to the set. The caller holds cs.mu.
func (cs *Conns) addConn(c *Conn) {
	cs.open++
	cs.setState(c, stateNoData)
}

// beginRequest records that bytes of a request have arrived. The caller holds cs.mu.
func (cs *Conns) beginRequest(c *Conn) {
	if c.state == stateIdle {
		// net/http applies its read timeout only after it has received four bytes of the
		// request; until then the read deadline is still that of the idle timeout. An error
		// means that the connection is closed, which Read reports.
		_ = c.SetReadDeadline(time.Now().Add(cs.config.ReadTimeout))
	}
	cs.setState(c, stateReadingHead)
}

// markHeadRead records that net/http has read the head of a request. c keeps its position in the
// queue, so the grace period of the incomplete request does not restart. The caller holds cs.mu.
func (cs *Conns) markHeadRead(c *Conn) {
	if c.state == stateReadingHead {
		c.state = stateReadingBody
		c.head.SetComplete()
	}
}

// beginMemoryWait records that the body of a request is not read until memory is free. The caller holds cs.mu.
func (cs *Conns) beginMemoryWait(c *Conn) {
	if c.state == stateReadingBody {
		cs.setState(c, stateAwaitingMemory)
	}
}

// endMemoryWait records that the body of a request is read from now on. The caller holds cs.mu.
func (cs *Conns) endMemoryWait(c *Conn) {
	if c.state == stateAwaitingMemory {
		cs.setState(c, stateReadingBody)
	}
}

// markRequestRead records that the last byte of a request has been read. The caller holds cs.mu.
func (cs *Conns) markRequestRead(c *Conn) {
	if c.state != stateClosed {
		cs.setState(c, stateActive)
	}
}

// completeResponse records that the response to the current request is complete. It returns true if
// it has marked c closed; the caller must then close the socket, see markClosed. The caller holds
// cs.mu.
func (cs *Conns) completeResponse(c *Conn) bool {
	c.queueTime = 0
	c.respondedAt = time.Now()
	c.releaseHead()
	c.endResponse()
	switch {
	case c.state == stateClosed:
		return false
	case len(c.readAhead) > 0: // contains the next request or a part of it
		cs.beginRequest(c)
		return false
	case cs.stage >= stageDraining:
		return cs.markIdleClosed(c)
	default:
		cs.setState(c, stateIdle)
		return false
	}
}

// beginLingering records that the last response has been sent. The caller holds cs.mu.
func (cs *Conns) beginLingering(c *Conn) {
	if c.state != stateClosed {
		cs.setState(c, stateLingering)
	}
}

// markClosed removes c from the set and stops reads from it. It returns false if c was already
// marked closed. The caller holds cs.mu and must close the socket only after releasing it: closing
// waits for a concurrent read, which may be waiting for cs.mu.
func (cs *Conns) markClosed(c *Conn) bool {
	if c.state == stateClosed {
		return false
	}
	c.releaseReadAhead()
	c.releaseHead()
	cs.open--
	cs.setState(c, stateClosed)
	return true
}

// markIdleClosed marks an idle connection closed like markClosed. If bytes of the next request have
// arrived, it begins that request instead and returns false. The caller holds cs.mu.
func (cs *Conns) markIdleClosed(c *Conn) bool {
	if c.hasUnreadBytes() {
		cs.beginRequest(c)
		return false
	}
	return cs.markClosed(c)
}

// endsTurn reports whether the goroutine of an open connection waits in a state, so that its turn ends.
func (s connState) endsTurn() bool {
	switch s {
	case stateAwaitingMemory, stateActive, stateLingering:
		return true
	default:
		return false
	}
}

// setState changes the state of c, moves c to the end of the new state's queue, and wakes the
// goroutines that wait for a change. The caller holds cs.mu.
func (cs *Conns) setState(c *Conn, next connState) {
	if c.queueElement != nil {
		cs.queue(c.state).remove(c)
	}
	if c.state.hasClaimToResponse() {
		cs.active--
	}
	if next.hasClaimToResponse() {
		cs.active++
	}
	switch {
	case next == stateClosed:
		c.conns.throttle.Retire(&c.turn)
	case next.endsTurn():
		c.endTurn()
	}
	c.state, c.graceStart = next, time.Now()
	if queue := cs.queue(next); queue != nil {
		queue.add(c)
	}
	cs.wakeWaiters()
}
