package downstream

import "context"

// shutdownStage is how far the shutdown of a set of connections has come. It only advances;
// Conns.mu guards it.
type shutdownStage int

// The stages, and the connections that the set closes in each.
const (
	stageServing  shutdownStage = iota // until Conns.Drain: those that it evicts
	stageDraining                      // from Conns.Drain on: also each that becomes idle
	stageClosing                       // from Conns.Shutdown on: also each whose client waits for no response
)

// Drain closes idle connections, and from now on every other one as soon as it becomes
// idle. It returns when no connection is open or ctx ends, and may be called again.
func (cs *Conns) Drain(ctx context.Context) {
	cs.advanceTo(stageDraining)
	cs.closeEach(cs.takeIdle)
	for {
		done, changed := cs.checkCondition(cs.isEmpty)
		if done || !awaitChange(ctx, changed) {
			return
		}
	}
}

// Shutdown closes every connection as soon as its client waits for no response: new ones
// without data, idle ones, and those on which a request is incomplete and no more of it has
// arrived. It returns when each request that was read has its response, or ctx ends. The
// caller has closed the listener and called Drain. If the next request on a connection has
// arrived, the connection stays open and the request gets a response.
func (cs *Conns) Shutdown(ctx context.Context) {
	cs.advanceTo(stageClosing)
	for {
		cs.closeEach(cs.takeWithoutRequest)
		done, changed := cs.checkCondition(cs.allResponsesComplete)
		if done || !awaitChange(ctx, changed) {
			return
		}
	}
}

// advanceTo begins a stage, unless it or a later one has begun.
func (cs *Conns) advanceTo(stage shutdownStage) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.stage = max(cs.stage, stage)
}

// closeEach closes the sockets of the connections that take returns, without holding
// cs.mu, until it returns nil. take marks them closed.
func (cs *Conns) closeEach(take func() *Conn) {
	for c := take(); c != nil; c = take() {
		_ = c.Conn.Close() // nothing can be done about a failure
	}
}

// takeIdle marks an idle connection closed and returns it; nil if no connection is
// idle. One whose client has sent bytes of a further request is not idle any more and
// stays open.
func (cs *Conns) takeIdle() *Conn {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := cs.idle.oldest(); c != nil; c = cs.idle.oldest() {
		if cs.markIdleClosed(c) {
			return c
		}
	}
	return nil
}

// takeWithoutRequest marks a connection closed on which no complete request has arrived, and
// returns it; nil if there is none.
func (cs *Conns) takeWithoutRequest() *Conn {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, queue := range []*connQueue{&cs.noData, &cs.idle, &cs.partial} {
		for c := range queue.all() {
			if !c.hasNoRequest() {
				continue
			}
			if queue == &cs.partial {
				cs.incomplete++
			}
			cs.markClosed(c)
			return c
		}
	}
	return nil
}

// isEmpty reports whether no connection is open. The caller holds cs.mu.
func (cs *Conns) isEmpty() bool { return cs.open == 0 }

// allResponsesComplete reports whether no request is being read or waits for its response.
// The caller holds cs.mu.
func (cs *Conns) allResponsesComplete() bool {
	return cs.active+cs.noData.len()+cs.idle.len()+cs.partial.len() == 0
}

// hasNoRequest reports whether no complete request has arrived on a connection that is
// not active. net/http may have read a part of one: if Read blocks, it waits for the rest.
// The caller holds conns.mu.
func (c *Conn) hasNoRequest() bool {
	incomplete := c.state.awaitsRequest() || c.readBlocked
	return incomplete && len(c.readAhead) == 0 && !c.hasUnreadBytes()
}
