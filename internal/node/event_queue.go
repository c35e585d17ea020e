package node

// eventQueueSize is how many events may wait before their senders block.
const eventQueueSize = 1024

// eventQueue holds the events that wait for the loop. Other goroutines post events. The methods of policyHost
// run within a call of the balancer and must not call it back: they defer their events until the loop has
// handled the present one.
type eventQueue struct {
	posted   chan event
	done     <-chan struct{} // closed when the loop ends
	deferred []event         // only the loop's goroutine uses it
}

func newEventQueue(done <-chan struct{}) *eventQueue {
	return &eventQueue{posted: make(chan event, eventQueueSize), done: done}
}

// post sends the loop an event; it reports false if the loop has ended.
func (q *eventQueue) post(e event) bool {
	select {
	case q.posted <- e:
		return true
	case <-q.done:
		return false
	}
}

// deferEvent adds an event that the loop handles after the present one and those that were deferred before.
func (q *eventQueue) deferEvent(e event) { q.deferred = append(q.deferred, e) }

// popDeferred removes and returns the next deferred event, nil if there is none.
func (q *eventQueue) popDeferred() event {
	if len(q.deferred) == 0 {
		return nil
	}
	next := q.deferred[0]
	q.deferred = q.deferred[1:]
	return next
}
