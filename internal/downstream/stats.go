package downstream

// Stats counts the connections of a set.
type Stats struct {
	Open       int // admitted and not closed
	Active     int // with a request that has no complete response
	Evicted    int // closed for a new connection so far
	Incomplete int // closed by Shutdown with a part of a request
}

// Stats returns the present numbers of connections.
func (cs *Conns) Stats() Stats {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return Stats{Open: cs.open, Active: cs.active, Evicted: cs.evicted, Incomplete: cs.incomplete}
}
