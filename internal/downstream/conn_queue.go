package downstream

import (
	"container/list"
	"iter"
)

// connQueue lists connections in the order in which they were added.
type connQueue struct {
	conns list.List // of *Conn
}

func (q *connQueue) len() int { return q.conns.Len() }

// oldest returns the connection that was added first; nil if there is none.
func (q *connQueue) oldest() *Conn {
	if front := q.conns.Front(); front != nil {
		return front.Value.(*Conn)
	}
	return nil
}

// all yields the connections, the oldest first. The queue must not change while the caller
// goes on with the iteration.
func (q *connQueue) all() iter.Seq[*Conn] {
	return func(yield func(*Conn) bool) {
		for element := q.conns.Front(); element != nil; element = element.Next() {
			if !yield(element.Value.(*Conn)) {
				return
			}
		}
	}
}

// add puts c at the end of the queue.
func (q *connQueue) add(c *Conn) { c.queueElement = q.conns.PushBack(c) }

// remove takes c out of the queue that it is in.
func (q *connQueue) remove(c *Conn) {
	q.conns.Remove(c.queueElement)
	c.queueElement = nil
}

// queue returns the queue of the connections that are in a state; nil if the state has
// none, as such connections are not evicted. The caller holds cs.mu.
func (cs *Conns) queue(state connState) *connQueue {
	switch state {
	case stateNoData:
		return &cs.noData
	case stateReadingHead, stateReadingBody:
		return &cs.partial
	case stateIdle:
		return &cs.idle
	case stateLingering:
		return &cs.lingering
	default:
		return nil
	}
}
