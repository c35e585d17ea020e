package downstream

import "context"

// wakeWaiters wakes all that wait for a change. The caller holds cs.mu.
func (cs *Conns) wakeWaiters() {
	if cs.changed != nil {
		close(cs.changed)
		cs.changed = nil
	}
}

// nextChange returns a channel that is closed at the next change of any connection. The
// caller holds cs.mu, so that it misses none after what it has seen.
func (cs *Conns) nextChange() <-chan struct{} {
	if cs.changed == nil {
		cs.changed = make(chan struct{})
	}
	return cs.changed
}

// checkCondition reports whether a condition holds, which it checks under cs.mu. The channel is
// closed at the next change after that.
func (cs *Conns) checkCondition(condition func() bool) (bool, <-chan struct{}) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return condition(), cs.nextChange()
}

// awaitChange waits until changed is closed. It returns false if ctx ends before.
func awaitChange(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}
