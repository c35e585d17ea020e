package downstream

import "time"

// decision is the result of an attempt to admit a new connection.
type decision int

const (
	decisionAdmit decision = iota // the connection has been added to the set, in stateNoData
	decisionEvict                 // close the victim's socket, then try again
	decisionWait                  // wait for a change, then try again
)

// String returns a description of the decision for messages.
func (d decision) String() string {
	switch d {
	case decisionAdmit:
		return "admit"
	case decisionEvict:
		return "evict"
	case decisionWait:
		return "wait"
	}
	return "unknown"
}

// admissionStep is one step of admitting a new connection. The caller of tryAdmit carries it out
// without holding cs.mu.
type admissionStep struct {
	decision decision
	// For decisionEvict: the connection to evict. It is marked closed, but its socket is still open.
	victim *Conn
	unread bool // for decisionEvict: whether no byte of victim has been read
	// For decisionWait: the time until a connection may be evicted (0 if all are active) and a
	// channel that is closed at the next change of a connection.
	wait    time.Duration
	changed <-chan struct{}
}

// admit adds c to the set and returns true, or returns false if the listener was closed. It blocks
// while all candidates for eviction are in their grace periods, and while all connections including
// the reserve are active. It never closes c to avoid the wait, because the client may already have
// sent a request. Requests on connections of the reserve are answered immediately, so the wait is
// short.
func (cs *Conns) admit(c *Conn) bool {
	for {
		step := cs.tryAdmit(c)
		switch step.decision {
		case decisionAdmit:
			cs.throttle.EndUrgent()
			return true
		case decisionEvict:
			if step.unread {
				step.victim.resetOnClose()
			}
			_ = step.victim.Conn.Close() // a failed close is ignored, there is no recovery
		case decisionWait:
			if !cs.awaitCapacity(step) {
				return false
			}
		}
	}
}

// tryAdmit adds c to the set if there is capacity, and selects a connection to evict otherwise. The
// reserve is used only while all connections are active: no active client is affected, and the new
// client gets a response.
func (cs *Conns) tryAdmit(c *Conn) admissionStep {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.open < cs.config.MaxOpen {
		cs.addConn(c)
		return admissionStep{decision: decisionAdmit}
	}
	now := time.Now()
	cs.beginUnreadRequests(now)
	candidate, wait := cs.evictionCandidate(now)
	switch {
	case candidate == nil && cs.open >= cs.config.MaxOpen+cs.config.ReservedConns:
		return admissionStep{decision: decisionWait, changed: cs.nextChange()}
	case candidate == nil:
		c.overLimit = true
		cs.addConn(c)
		return admissionStep{decision: decisionAdmit}
	case wait > 0:
		return admissionStep{decision: decisionWait, wait: wait, changed: cs.nextChange()}
	}
	cs.evicted++
	unread := candidate.state == stateNoData
	cs.markClosed(candidate)
	return admissionStep{decision: decisionEvict, victim: candidate, unread: unread}
}

// awaitCapacity waits until a connection changes or may be evicted. It returns false if the listener
// was closed.
func (cs *Conns) awaitCapacity(step admissionStep) bool {
	cs.throttle.BeginUrgent()      // new clients wait for the connections whose responses are throttled
	var evictable <-chan time.Time // nil if no grace period is running
	if step.wait > 0 {
		timer := time.NewTimer(step.wait)
		defer timer.Stop()
		evictable = timer.C
	}
	select {
	case <-evictable:
	case <-step.changed:
	case <-cs.listenerClosed:
		return false
	}
	return true
}
