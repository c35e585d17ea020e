package downstream

import "time"

// decision is what to do with a new connection.
type decision int

const (
	decisionAdmit decision = iota // it is in the set, in stateNoData
	decisionEvict                 // close the victim's socket, then decide again
	decisionWait                  // wait for a change, then decide again
)

// String names the decision.
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

// admissionStep is one step of admitting a new connection. The caller of tryAdmit carries it
// out without holding cs.mu.
type admissionStep struct {
	decision decision
	victim   *Conn // with decisionEvict: marked closed, its socket is still open
	// With decisionWait: the time until a connection may be evicted, 0 if all are active,
	// and a channel that is closed at the next change of one.
	wait    time.Duration
	changed <-chan struct{}
}

// admit makes c one of the set's connections and returns true, or returns false if the
// listener was closed. It blocks while every connection that might be evicted is in its grace
// period, and while all connections are active, those of the reserve included. It does not
// close c instead, as its client may have sent a request. Connections of the reserve get
// their response at once, so that the wait is short.
func (cs *Conns) admit(c *Conn) bool {
	for {
		step := cs.tryAdmit(c)
		switch step.decision {
		case decisionAdmit:
			return true
		case decisionEvict:
			_ = step.victim.Conn.Close() // nothing can be done about a failure
		case decisionWait:
			if !cs.awaitCapacity(step) {
				return false
			}
		}
	}
}

// tryAdmit adds c if there is capacity, and otherwise chooses a connection to evict.
// The reserve is used only while all connections are active, so that their clients
// are not affected and the new one gets a response.
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
	case candidate == nil && cs.open >= cs.config.MaxOpen+cs.config.Reserve:
		return admissionStep{decision: decisionWait, changed: cs.nextChange()}
	case candidate == nil:
		c.overLimit = true
		cs.addConn(c)
		return admissionStep{decision: decisionAdmit}
	case wait > 0:
		return admissionStep{decision: decisionWait, wait: wait, changed: cs.nextChange()}
	}
	cs.evicted++
	cs.markClosed(candidate)
	return admissionStep{decision: decisionEvict, victim: candidate}
}

// awaitCapacity waits until a connection changes or one may be evicted. It returns false if
// the listener was closed.
func (cs *Conns) awaitCapacity(step admissionStep) bool {
	var evictable <-chan time.Time // never ready if no connection becomes evictable by itself
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
