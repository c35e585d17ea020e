package history

import (
	"sync"
	"sync/atomic"
	"time"
)

// Server is one process of a server.
type Server struct {
	ID           string
	JoinedAt     time.Time   // start time of the process; zero if the server is listed from the start of the run
	Unresponsive atomic.Bool // whether the server accepts requests without responding; changes during the run

	// DelistedGeneration is the first generation in which the server is draining or removed. It is 0 until such a
	// generation is published.
	DelistedGeneration atomic.Uint64

	mu       sync.Mutex
	arrivals []time.Time // arrival times of all attempts
}

// RecordArrival records that an attempt arrived at the server.
func (s *Server) RecordArrival(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, at)
}

// CountArrivals returns the number of attempts that arrived in the interval [from, to).
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
