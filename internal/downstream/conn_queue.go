package downstream

import (
	"container/list"
	"iter"
)

// connQueue holds connections in the order in which they were added.
type connQueue struct {
	conns list.List // of *Conn
}

func (q *connQueue) len() int { return q.conns.Len() }

// oldest returns the connection that was added first, or nil if the queue is empty.
func (q *connQueue) oldest() *Conn {
	if front := q.conns.Front(); front != nil {
		return front.Value.(*Conn)
	}
	return nil
}

// all iterates over the connections, oldest first. The queue must not change during the iteration.
func (q *connQueue) all() iter.Seq[*Conn] {
	return func(yield func(*Conn) bool) {
		for element := q.conns.Front(); element != nil; element = element.Next() {
			if !yield(element.Value.(*Conn)) {
				return
			}
		}
	}
}

// add appends c to the queue.
func (q *connQueue) add(c *Conn) { c.queueElement = q.conns.PushBack(c) }

// remove removes c from the queue, which must contain it.
func (q *connQueue) remove(c *Conn) {
	q.conns.Remove(c.queueElement)
	c.queueElement = nil
}

// queue returns the queue of the connections in a state, or nil if connections in that state are
// never evicted and therefore not queued. The caller holds cs.mu.
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
