package downstream

import (
	"context"
)

// Drain closes idle connections, and from now on every other as soon as it falls
// idle. It returns when no connection is open or ctx ends, and may be called again.
func (cs *Conns) Drain(ctx context.Context) {
	cs.beginDraining()
	cs.closeEach(cs.nextToDrain)
	cs.await(ctx, func() bool { return cs.open == 0 })
}

// Shutdown closes every connection as soon as its client waits for no response: those on
// which nothing has come, those with a part of a request of which nothing more has
// arrived, and those whose last response is sent. It returns when each request that was
// read has its response, or ctx ends. The caller has closed the listener and called Drain.
// A connection whose next request has arrived is not closed but answered.
func (cs *Conns) Shutdown(ctx context.Context) {
	cs.beginClosing()
	for {
		cs.closeEach(cs.nextToFinish)
		changed, finished := cs.finished()
		if finished {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (cs *Conns) beginDraining() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.draining = true
}

func (cs *Conns) beginClosing() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.draining = true
	cs.closing = true
}

// await waits until a condition holds, which is checked under cs.mu, or ctx ends.
func (cs *Conns) await(ctx context.Context, holds func() bool) {
	for {
		cs.mu.Lock()
		held, changed := holds(), cs.nextChange()
		cs.mu.Unlock()
		if held {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// closeEach closes the sockets of the connections that next marks closed, without
// holding cs.mu, until it returns nil.
func (cs *Conns) closeEach(next func() *Conn) {
	for c := next(); c != nil; c = next() {
		_ = c.Conn.Close() // nothing can be done about a failure
	}
}

// nextToDrain marks an idle connection closed and returns it; nil if no connection is
// idle. One whose client has sent bytes of a further request is not idle any more and
// stays open.
func (cs *Conns) nextToDrain() *Conn {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := cs.idle.oldest(); c != nil; c = cs.idle.oldest() {
		if cs.markIdleClosed(c) {
			return c
		}
	}
	return nil
}

// nextToFinish marks a connection closed that has no request and returns it; nil if
// there is none.
func (cs *Conns) nextToFinish() *Conn {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, queue := range []*connQueue{&cs.noData, &cs.idle, &cs.partial} {
		for element := queue.conns.Front(); element != nil; element = element.Next() {
			if c := element.Value.(*Conn); c.hasNoRequest() {
				if queue == &cs.partial {
					cs.incomplete++
				}
				cs.markClosed(c)
				return c
			}
		}
	}
	return nil
}

// finished reports whether no request is being read or answered. Otherwise the channel
// is closed when that may have changed.
func (cs *Conns) finished() (changed <-chan struct{}, finished bool) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	unanswered := cs.active + cs.noData.conns.Len() + cs.idle.conns.Len() + cs.partial.conns.Len()
	return cs.nextChange(), unanswered == 0
}

// hasNoRequest reports whether no complete request has arrived on a connection that is
// not active. A part of one is with net/http, which waits for the rest. The caller holds
// conns.mu.
func (c *Conn) hasNoRequest() bool {
	if c.state != stateNoData && c.state != stateIdle && !c.awaiting {
		return false
	}
	return len(c.readAhead) == 0 && !c.hasUnreadBytes()
}
