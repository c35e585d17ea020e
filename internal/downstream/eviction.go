package downstream

import (
	"time"

	"calicohinge/internal/sockstate"
)

// A connection that has not sent a complete request may be evicted only after a grace
// period, which counts from its last change of state.
const (
	// noDataGracePeriod applies to a new connection. A client connects because it
	// has a request to send, so that its first bytes follow at once.
	noDataGracePeriod = 20 * time.Millisecond
	// partialGracePeriod applies to one that has sent a part of a request. It is
	// longer: the rest may take some round trips.
	partialGracePeriod = 150 * time.Millisecond
	// idleGracePeriod applies between two requests. With a longer one, new clients would
	// wait in the accept queue until an idle connection may be evicted.
	idleGracePeriod = 0
	// lingerGracePeriod applies after a last response, which its client may still be reading.
	lingerGracePeriod = 150 * time.Millisecond
)

// evictionCandidate returns the connection to evict for a new one, and how long it is
// still in its grace period; nil if all connections are active. It prefers new connections
// without data, then idle ones, then those with a part of a request, then those that wait for
// their clients to close them, and of each kind the oldest: many connections that never
// complete a request must not deny capacity to clients that do. If all are in their grace
// period, it returns the one that leaves it first. The caller holds cs.mu and has called
// beginUnreadRequests.
func (cs *Conns) evictionCandidate(now time.Time) (*Conn, time.Duration) {
	var candidate *Conn
	var wait time.Duration
	for _, kind := range []struct {
		queue       *connQueue
		gracePeriod time.Duration
	}{
		{&cs.noData, noDataGracePeriod},
		{&cs.idle, idleGracePeriod},
		{&cs.partial, partialGracePeriod},
		{&cs.lingering, lingerGracePeriod},
	} {
		oldest := kind.queue.oldest()
		if oldest == nil {
			continue
		}
		remaining := kind.gracePeriod - now.Sub(oldest.graceStart)
		if candidate == nil || remaining < wait {
			candidate, wait = oldest, remaining
		}
		if wait <= 0 {
			break // the kinds that follow are less preferred
		}
	}
	return candidate, wait
}

// beginUnreadRequests begins the request of each connection that would be evicted as a new
// or an idle one although its client has sent bytes: a busy node may not have read them yet.
// In each queue it stops at the first connection that stays there. The caller holds cs.mu.
func (cs *Conns) beginUnreadRequests(now time.Time) {
	for c := cs.noData.oldest(); c != nil; c = cs.noData.oldest() {
		if now.Sub(c.graceStart) < noDataGracePeriod || sockstate.Peek(c.Conn) == sockstate.Quiet {
			break
		}
		cs.beginRequest(c)
	}
	for c := cs.idle.oldest(); c != nil; c = cs.idle.oldest() {
		if !c.hasUnreadBytes() {
			break
		}
		cs.beginRequest(c)
	}
}
