package downstream

// Stats contains the connection counts of a Conns.
type Stats struct {
	Open       int // connections admitted and not closed
	Active     int // open connections with a request whose response is not complete
	Evicted    int // total connections closed to admit new ones
	Incomplete int // total connections closed by Shutdown with a partial request
}

// Stats returns the current connection counts.
func (cs *Conns) Stats() Stats {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return Stats{Open: cs.open, Active: cs.active, Evicted: cs.evicted, Incomplete: cs.incomplete}
}
