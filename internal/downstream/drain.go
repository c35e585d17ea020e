package downstream

import "context"

// shutdownStage is the progress of the shutdown of a Conns. It only advances and is guarded by
// Conns.mu.
type shutdownStage int

// The stages in order, and which connections are closed in each of them.
const (
	stageServing  shutdownStage = iota // until Drain is called; only evicted connections are closed
	stageDraining                      // Drain was called; connections that are or become idle are closed too
	stageClosing                       // Shutdown was called; connections without a complete request are closed too
)

// Drain closes all idle connections, and the remaining ones as soon as they become idle. It returns
// when no connection is open or ctx is done, and may be called again.
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

// Shutdown closes every connection whose client is not waiting for a response: new connections
// without data, idle connections, and connections on which a request is incomplete and no further
// bytes of it have arrived. It returns when the response to each request that was read is complete,
// or when ctx is done. The caller has closed the listener and called Drain. If the next request on a
// connection has already arrived, the connection stays open and the request gets a response.
func (cs *Conns) Shutdown(ctx context.Context) {
	cs.advanceTo(stageClosing)
	for {
		cs.closeEach(cs.takeWithoutCompleteRequest)
		done, changed := cs.checkCondition(cs.allResponsesComplete)
		if done || !awaitChange(ctx, changed) {
			return
		}
	}
}

// advanceTo advances the shutdown to a stage. It has no effect in that stage or a later one.
func (cs *Conns) advanceTo(stage shutdownStage) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.stage = max(cs.stage, stage)
}

// closeEach closes the sockets of the connections that take returns until it returns nil. take marks
// the connections closed; their sockets are closed without holding cs.mu, see markClosed.
func (cs *Conns) closeEach(take func() *Conn) {
	for c := take(); c != nil; c = take() {
		_ = c.Conn.Close() // a failed close is ignored, there is no recovery
	}
}

// takeIdle marks an idle connection closed and returns it, or returns nil if there is none. A
// connection on which bytes of a further request have arrived is no longer idle and stays open.
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

// takeWithoutCompleteRequest marks a connection closed on which no complete request has arrived, and
// returns it. It returns nil if there is none.
func (cs *Conns) takeWithoutCompleteRequest() *Conn {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, queue := range []*connQueue{&cs.noData, &cs.idle, &cs.partial} {
		for c := range queue.all() {
			if !c.hasNoCompleteRequest() {
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

// allResponsesComplete reports whether no request is being read or waiting for its response; open
// connections may only be lingering. The caller holds cs.mu.
func (cs *Conns) allResponsesComplete() bool {
	return cs.active+cs.noData.len()+cs.idle.len()+cs.partial.len() == 0
}

// hasNoCompleteRequest reports whether no complete request has arrived on a connection that is not
// active. net/http may have read a part of a request; a blocked Read means that the rest is missing.
// The caller holds conns.mu.
func (c *Conn) hasNoCompleteRequest() bool {
	incomplete := c.state.awaitsRequest() || c.readBlocked
	return incomplete && len(c.readAhead) == 0 && !c.hasUnreadBytes()
}
