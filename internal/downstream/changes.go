package downstream

import "context"

// wakeWaiters wakes all goroutines that wait for a change. The caller holds cs.mu.
func (cs *Conns) wakeWaiters() {
	if cs.changed != nil {
		close(cs.changed)
		cs.changed = nil
	}
}

// nextChange returns a channel that is closed at the next change of any connection. The caller holds
// cs.mu, so that it misses no change after the state that it has read.
func (cs *Conns) nextChange() <-chan struct{} {
	if cs.changed == nil {
		cs.changed = make(chan struct{})
	}
	return cs.changed
}

// checkCondition evaluates condition with cs.mu held. It returns the result and a channel that is
// closed at the next change after the evaluation.
func (cs *Conns) checkCondition(condition func() bool) (bool, <-chan struct{}) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return condition(), cs.nextChange()
}

// awaitChange waits until changed is closed. It returns false if ctx is done first.
func awaitChange(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}
