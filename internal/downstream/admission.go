package downstream

import (
	"container/list"
	"net"
	"syscall"
	"time"

	"calicohinge/internal/sockstate"
)

const (
	// silentGracePeriod is how long a new connection that says nothing is kept where
	// others want its place. A client connects because it has something to ask.
	silentGracePeriod = 20 * time.Millisecond
	// partialGracePeriod is the same for one that has sent a part of a request.
	partialGracePeriod = 150 * time.Millisecond
)

// admit counts a new connection; nil if there is no place for it.
func (cs *Conns) admit(nc net.Conn) *Conn {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	c := &Conn{Conn: nc, raw: raw, conns: cs}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for cs.open >= cs.config.MaxOpen {
		first, wait := cs.evictionCandidate()
		if first == nil {
			if cs.open >= cs.config.MaxOpen+cs.config.Reserve {
				return nil
			}
			c.overLimit = true
			break
		}
		if wait <= 0 {
			cs.close(first)
			cs.mu.Unlock()
			first.Conn.Close()
			cs.mu.Lock()
			continue
		}
		cs.mu.Unlock()
		stopped := cs.waitForChange(wait)
		cs.mu.Lock()
		if stopped {
			return nil
		}
	}
	cs.open++
	cs.move(c, &cs.silent)
	return c
}

// evictionCandidate gives the connection that has to make room first, and in how long it
// may be asked to; nil if all are at work. cs.mu is held.
func (cs *Conns) evictionCandidate() (first *Conn, wait time.Duration) {
	now := time.Now()
	for e := cs.silent.Front(); e != nil; e = cs.silent.Front() {
		c := e.Value.(*Conn)
		if now.Sub(c.since) < silentGracePeriod || sockstate.Peek(c.Conn) == sockstate.Quiet {
			break
		}
		cs.move(c, &cs.partial) // it has spoken: this node was too busy to listen
	}
	for e := cs.idle.Front(); e != nil; e = cs.idle.Front() {
		c := e.Value.(*Conn)
		if sockstate.Peek(c.Conn) != sockstate.Readable {
			break
		}
		cs.move(c, &cs.partial)
	}
	for _, l := range []struct {
		conns *list.List
		grace time.Duration
	}{{&cs.silent, silentGracePeriod}, {&cs.idle, 0}, {&cs.partial, partialGracePeriod}} {
		if e := l.conns.Front(); e != nil {
			c := e.Value.(*Conn)
			if left := l.grace - now.Sub(c.since); first == nil || left < wait {
				first, wait = c, left
			}
			if wait <= 0 {
				break
			}
		}
	}
	return first, wait
}

// waitForChange waits until something changes, for so long at most; true if the listener ended.
func (cs *Conns) waitForChange(most time.Duration) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-cs.changed:
	case <-cs.listenerClosed:
		return true
	}
	return false
}
