package downstream

import (
	"time"

	"calicohinge/internal/sockstate"
)

// A connection without a complete request may be evicted only after a grace period, which starts when
// the connection enters its state. The transition from stateReadingHead to stateReadingBody does not
// restart the grace period.
const (
	// noDataGracePeriod applies to new connections. A client connects because it has a request
	// to send, so its first bytes follow immediately.
	noDataGracePeriod = 20 * time.Millisecond
	// partialGracePeriod applies to connections on which a part of a request has arrived. It is
	// longer because the rest may take several round trips.
	partialGracePeriod = 150 * time.Millisecond
	// idleGracePeriod applies between two requests. If it were longer, new clients would wait in
	// the accept queue until an idle connection may be evicted.
	idleGracePeriod = 0
	// lingerGracePeriod applies after the last response, which the client may still be reading.
	lingerGracePeriod = 150 * time.Millisecond
)

// evictionCandidate returns the connection to evict for a new one and the remaining time of its grace
// period (0 or negative if the period has ended). It returns nil if all connections are active. The
// order of preference is: new connections without data, idle connections, connections with a partial
// request, lingering connections; within each kind the oldest comes first. Thus many connections that
// never send a whole request cannot deny capacity to other clients. If all candidates are in their
// grace periods, evictionCandidate returns the connection whose grace period ends first. The caller
// holds cs.mu and has called beginUnreadRequests.
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
			break // an evictable connection is found; the remaining kinds are less preferred
		}
	}
	return candidate, wait
}

// beginUnreadRequests begins the request of each connection that would be evicted as new or idle
// although bytes of a request have arrived: a busy node may not have read them yet. In each queue it
// stops at the first connection that remains there. The caller holds cs.mu.
func (cs *Conns) beginUnreadRequests(now time.Time) {
	for c := cs.noData.oldest(); c != nil; c = cs.noData.oldest() {
		if now.Sub(c.graceStart) < noDataGracePeriod || sockstate.Peek(c.Conn) == sockstate.Idle {
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
