package node

import "sync"

// requestIDs is the set of X-Request-IDs in use. It is safe for concurrent use; the zero value is an empty set.
type requestIDs struct {
	mu  sync.Mutex
	ids map[string]struct{}
}

// reserve adds an ID to the set. It returns false if the ID is already in use.
func (s *requestIDs) reserve(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, used := s.ids[id]; used {
		return false
	}
	if s.ids == nil {
		s.ids = map[string]struct{}{}
	}
	s.ids[id] = struct{}{}
	return true
}

// release removes an ID from the set.
func (s *requestIDs) release(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ids, id)
}

// count returns the number of IDs in the set.
func (s *requestIDs) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ids)
}
