package downstream

import (
	"time"

	"calicohinge/internal/sockstate"
)

// A connection that has not sent a complete request may be evicted only after a grace
// period, which counts from its last change of state.
const (
	// silentGracePeriod applies to a new connection. A client connects because it
	// has a request to send, so that its first bytes follow at once.
	silentGracePeriod = 20 * time.Millisecond
	// partialGracePeriod applies to one that has sent a part of a request. It is
	// longer: the rest may take some round trips.
	partialGracePeriod = 150 * time.Millisecond
	// idleGracePeriod applies between two requests. With any longer one, a new
	// client would wait in the accept queue while idle connections age, and all
	// clients behind it would wait too.
	idleGracePeriod = 0
	// lingerGracePeriod applies after a last response, which its client may still be reading.
	lingerGracePeriod = 150 * time.Millisecond
)

// evictionCandidate returns the connection to evict for a new one, and how long it is
// still in its grace period; nil if all connections are active. Silent connections
// come first, then idle ones, then those with a part of a request, each the oldest
// first: a flood of connections that never complete a request must not deny
// capacity to clients that do. Last come those that wait for their clients to close them.
// If none is past its grace period, the next to be so is returned.
// The caller holds cs.mu.
func (cs *Conns) evictionCandidate() (candidate *Conn, wait time.Duration) {
	now := time.Now()
	cs.requeueSilent(now)
	cs.requeueIdle()
	for _, class := range []struct {
		queue       *connQueue
		gracePeriod time.Duration
	}{
		{&cs.noData, silentGracePeriod},
		{&cs.idle, idleGracePeriod},
		{&cs.partial, partialGracePeriod},
		{&cs.lingering, lingerGracePeriod},
	} {
		oldest := class.queue.oldest()
		if oldest == nil {
			continue
		}
		remaining := class.gracePeriod - now.Sub(oldest.since)
		if candidate == nil || remaining < wait {
			candidate, wait = oldest, remaining
		}
		if wait <= 0 {
			break
		}
	}
	return candidate, wait
}

// requeueSilent moves connections past their grace period, whose client has sent
// something that a busy node has not read yet, to the queue of partial requests. It
// stops at the first that is to stay. The caller holds cs.mu.
func (cs *Conns) requeueSilent(now time.Time) {
	for c := cs.noData.oldest(); c != nil; c = cs.noData.oldest() {
		if now.Sub(c.since) < silentGracePeriod || sockstate.Peek(c.Conn) == sockstate.Quiet {
			return
		}
		cs.beginRequest(c)
	}
}

// requeueIdle does the same for idle connections. The caller holds cs.mu.
func (cs *Conns) requeueIdle() {
	for c := cs.idle.oldest(); c != nil; c = cs.idle.oldest() {
		if !c.hasUnreadBytes() {
			return
		}
		cs.beginRequest(c)
	}
}
