package downstream

import "context"

// Drain closes connections as they fall idle and waits until none is left.
func (cs *Conns) Drain(ctx context.Context) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.draining = true
	for e := cs.idle.Front(); e != nil; e = cs.idle.Front() {
		if c := e.Value.(*Conn); cs.closeIdle(c) {
			cs.mu.Unlock()
			c.Conn.Close()
			cs.mu.Lock()
		}
	}
	for cs.open > 0 && ctx.Err() == nil {
		cs.mu.Unlock()
		select {
		case <-cs.changed:
		case <-ctx.Done():
		}
		cs.mu.Lock()
	}
}

// StopReading has nothing read any more: what was not read by then is not taken, and its client
// asks elsewhere. What was read is still answered.
func (cs *Conns) StopReading() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.readingStopped = true
}
