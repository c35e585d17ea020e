package node

import "sync"

// requestIDs is the set of X-Request-IDs in use. It is safe for concurrent use; the zero value is an empty set.
type requestIDs struct {
	mu  sync.Mutex
	ids map[string]struct{}
}

// add adds an ID to the set. It returns false if the ID is already in use.
func (s *requestIDs) add(id string) bool {
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

// remove removes an ID from the set.
func (s *requestIDs) remove(id string) {
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
