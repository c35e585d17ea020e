package downstream

import "context"

// Drain closes idle connections, and from now on every other as soon as it falls
// idle. It returns when no connection is open or ctx ends, and may be called again.
func (cs *Conns) Drain(ctx context.Context) {
	cs.beginDraining()
	for c := cs.nextToDrain(); c != nil; c = cs.nextToDrain() {
		_ = c.Conn.Close() // nothing can be done about a failure
	}
	for cs.Open() > 0 && ctx.Err() == nil {
		select {
		case <-cs.changed:
		case <-ctx.Done():
		}
	}
}

func (cs *Conns) beginDraining() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.draining = true
}

// nextToDrain marks an idle connection closed and returns it, so that its socket is
// closed without holding cs.mu; nil if no connection is idle. One whose client has
// sent bytes of a further request is not idle any more and stays open.
func (cs *Conns) nextToDrain() *Conn {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := cs.idle.oldest(); c != nil; c = cs.idle.oldest() {
		if cs.closeIdle(c) {
			return c
		}
	}
	return nil
}

// StopReading ends the reading of all sockets. A request that is not read by then
// stays unread, so that its client retries at another node. One that was read is
// still answered.
func (cs *Conns) StopReading() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.readingStopped = true
}
