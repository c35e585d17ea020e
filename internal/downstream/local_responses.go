package downstream

import (
	"time"

	"calicohinge/internal/throttle"
)

// localResponseLimits returns the limits of the processor time for local responses.
func localResponseLimits() throttle.Config {
	return throttle.Config{
		Share:       0.25,
		UrgentShare: 0.75,
		Burst:       10 * time.Millisecond,
		Quantum:     500 * time.Microsecond, // short compared with the latency of a request
		MaxTurn:     5 * time.Millisecond,
	}
}

// LiftThrottle lets all local responses be written at once from now on.
func (cs *Conns) LiftThrottle() { cs.throttle.Lift() }

// LocalResponses counts responses that the node has made by itself, without an attempt on a server.
type LocalResponses struct {
	Total          int
	TopClient      string // address of the connection with the most of them; "" if there was none
	TopClientCount int
}

// localResponseCounter counts the local responses of all connections since the last call of TakeLocalResponses. It
// keeps a count for each open connection and the highest of them, so that its size does not depend on what clients
// send.
type localResponseCounter struct {
	period   int // number of the current period, which starts with a call of TakeLocalResponses
	total    int
	top      *Conn
	topCount int
}

// connLocalResponses is the count of a connection in a period.
type connLocalResponses struct{ period, count int }

// TakeLocalResponses returns the counts since its previous call.
func (cs *Conns) TakeLocalResponses() LocalResponses {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	counter := &cs.local
	taken := LocalResponses{Total: counter.total, TopClientCount: counter.topCount}
	if counter.top != nil {
		taken.TopClient = counter.top.RemoteAddr().String()
	}
	*counter = localResponseCounter{period: counter.period + 1}
	return taken
}

// countLocalResponse counts a local response on c. The caller holds cs.mu.
func (cs *Conns) countLocalResponse(c *Conn) {
	counter := &cs.local
	if c.local.period != counter.period {
		c.local = connLocalResponses{period: counter.period}
	}
	c.local.count++
	counter.total++
	if c.local.count > counter.topCount {
		counter.top, counter.topCount = c, c.local.count
	}
}
