package node

import (
	"container/list"
	"strings"
	"sync"
	"time"
)

const (
	// abandonedIDRetention is how long the X-Request-ID of an abandoned request stays in use after the request has ended:
	// far longer than any attempt may run, and than a client takes to send a request again.
	abandonedIDRetention = 30 * time.Second
	// maxAbandonedIDs is the number of abandoned requests whose IDs stay in use without a limit of the memory.
	maxAbandonedIDs = 16 << 10
	// abandonedIDMemory is the memory for an ID of maxIDLength that stays in use, in bytes.
	abandonedIDMemory = 384
	// abandonedIDsDivisor determines the memory for abandoned IDs: the configured memory divided by it.
	abandonedIDsDivisor = 64
)

// requestIDs is the set of X-Request-IDs in use: those of active requests, and those of abandoned ones. A request is
// abandoned if it is not idempotent, a server may have executed it, and its client may not have received the response. It
// is safe for concurrent use.
type requestIDs struct {
	mu        sync.Mutex
	active    map[string]struct{}
	abandoned map[string]*list.Element // elements of order
	order     list.List                // values are of type abandonedID, ordered by the end of their retention
	capacity  int                      // maximum number of abandoned IDs; the oldest ones are dropped for new ones
}

// abandonedID is the ID of an abandoned request.
type abandonedID struct {
	id         string
	retainedTo time.Duration // time on the node's clock
}

// newRequestIDs returns an empty set for a node. A memoryMB of 0 means that its memory has no limit.
func newRequestIDs(memoryMB int) *requestIDs {
	capacity := maxAbandonedIDs
	if memoryMB > 0 {
		capacity = min(capacity, memoryMB*bytesPerMB/abandonedIDsDivisor/abandonedIDMemory)
	}
	return &requestIDs{active: map[string]struct{}{}, abandoned: map[string]*list.Element{}, capacity: capacity}
}

// add adds the ID of an active request. It returns false if another active request has the ID.
func (s *requestIDs) add(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addActive(id)
}

// addOnce adds the ID of an active request that must not be executed twice. It returns false if another active request
// or an abandoned one has the ID.
func (s *requestIDs) addOnce(id string, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	_, abandoned := s.abandoned[id]
	return !abandoned && s.addActive(id)
}

// addActive adds an ID unless an active request has it. The caller holds s.mu.
func (s *requestIDs) addActive(id string) bool {
	if _, used := s.active[id]; used {
		return false
	}
	s.active[id] = struct{}{}
	return true
}

// remove removes the ID of an active request.
func (s *requestIDs) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, id)
}

// abandon keeps the ID of an abandoned request in use, whether or not it is active.
func (s *requestIDs) abandon(id string, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if element := s.abandoned[id]; element != nil {
		s.drop(element) // it is kept anew
	}
	if s.order.Len() >= s.capacity {
		s.drop(s.order.Front())
	}
	id = strings.Clone(id) // the head of the request, of which it is a part, must not stay in memory
	s.abandoned[id] = s.order.PushBack(abandonedID{id, now + abandonedIDRetention})
}

// expire drops the abandoned IDs whose retention has ended. The caller holds s.mu.
func (s *requestIDs) expire(now time.Duration) {
	for oldest := s.order.Front(); oldest != nil && oldest.Value.(abandonedID).retainedTo <= now; oldest = s.order.Front() {
		s.drop(oldest)
	}
}

// drop drops an abandoned ID. The caller holds s.mu.
func (s *requestIDs) drop(element *list.Element) {
	s.order.Remove(element)
	delete(s.abandoned, element.Value.(abandonedID).id)
}

// count returns the number of IDs of active requests.
func (s *requestIDs) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active)
}
