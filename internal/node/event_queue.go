package node

// eventQueueSize is the number of events that can be queued before post blocks.
const eventQueueSize = 1024

// eventQueue holds events until the loop handles them. Other goroutines post events. The methods of policyHost are
// called by the balancer and must not call it in turn: they defer events, which the loop handles after the current
// event.
type eventQueue struct {
	posted   chan event
	done     <-chan struct{} // closed when the loop ends
	deferred []event         // used only in the loop's goroutine
}

func newEventQueue(done <-chan struct{}) *eventQueue {
	return &eventQueue{posted: make(chan event, eventQueueSize), done: done}
}

// post queues an event for the loop. It returns false if the loop has ended.
func (q *eventQueue) post(e event) bool {
	select {
	case q.posted <- e:
		return true
	case <-q.done:
		return false
	}
}

// deferEvent adds an event that the loop handles after the current event and after those deferred earlier.
func (q *eventQueue) deferEvent(e event) { q.deferred = append(q.deferred, e) }

// popDeferred removes and returns the next deferred event, or returns nil if there is none.
func (q *eventQueue) popDeferred() event {
	if len(q.deferred) == 0 {
		return nil
	}
	next := q.deferred[0]
	q.deferred = q.deferred[1:]
	return next
}
