package node

import "sync"

// requestIDs is a set of request IDs that are in use. The zero value is empty.
type requestIDs struct {
	mu  sync.Mutex
	ids map[string]struct{}
}

// reserve adds an ID; it reports false if the ID is in use.
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

// release removes an ID.
func (s *requestIDs) release(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ids, id)
}

// count returns the number of IDs in use.
func (s *requestIDs) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ids)
}
