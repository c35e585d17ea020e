package history

import (
	"sync"
	"sync/atomic"
	"time"
)

// Server is one process of a server.
type Server struct {
	ID       string
	JoinedAt time.Time   // when it was listed first; zero: from the start of the run
	Hanging  atomic.Bool // it responds to no request

	// DelistedGeneration is the generation of the list that first showed the server as draining or removed; 0: none.
	DelistedGeneration atomic.Uint64

	mu       sync.Mutex
	arrivals []time.Time
}

// RecordArrival records that a request arrived at the server.
func (s *Server) RecordArrival(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, at)
}

// CountArrivals counts the requests that arrived in a time.
func (s *Server) CountArrivals(from, to time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, at := range s.arrivals {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}
