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
	// idleGracePeriod applies between two requests. With any longer one, a new
	// client would wait in the accept queue while idle connections age, and all
	// clients behind it would wait too.
	idleGracePeriod = 0
	// lingerGracePeriod applies after a last response, which its client may still be reading.
	lingerGracePeriod = 150 * time.Millisecond
)

// evictionCandidate returns the connection to evict for a new one, and how long it is
// still in its grace period; nil if all connections are active. New connections without
// data come first, then idle ones, then those with a part of a request, each the oldest
// first: a flood of connections that never complete a request must not deny
// capacity to clients that do. Last come those that wait for their clients to close them.
// If none is past its grace period, the next to be so is returned. beginUnreadRequests
// has to be called before. The caller holds cs.mu.
func (cs *Conns) evictionCandidate(now time.Time) (*Conn, time.Duration) {
	var candidate *Conn
	var wait time.Duration
	for _, class := range []struct {
		queue       *connQueue
		gracePeriod time.Duration
	}{
		{&cs.noData, noDataGracePeriod},
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

// beginUnreadRequests begins the request of each connection that would be evicted as a new
// or an idle one although its client has sent something that a busy node has not read yet.
// It stops at the first connection that is to stay in its queue. The caller holds cs.mu.
func (cs *Conns) beginUnreadRequests(now time.Time) {
	for c := cs.noData.oldest(); c != nil; c = cs.noData.oldest() {
		if now.Sub(c.since) < noDataGracePeriod || sockstate.Peek(c.Conn) == sockstate.Quiet {
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
