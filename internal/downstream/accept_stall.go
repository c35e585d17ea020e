package downstream

import "time"

const (
	// minStall is the shortest time without an accept that counts as a stall. It is far
	// below the accuracy that deadlines need.
	minStall = time.Millisecond
	// stallAftermath is how long after a stall the connections that it held up are
	// accepted: some thousand can be in that time.
	stallAftermath = 100 * time.Millisecond
)

// acceptStall is the latest time in which a listener accepted no connection, because the
// system failed to, or because one that it had accepted waited for its admission. Those that
// the system established meanwhile were held up, with the requests that their clients sent.
type acceptStall struct {
	began time.Time // zero: there was none
	ended time.Time // zero while it lasts
}

// begin records that nothing is accepted from now on. A stall soon after another goes on
// with it.
func (s *acceptStall) begin(now time.Time) {
	if s.began.IsZero() || !s.heldUp(now) {
		s.began = now
	}
	s.ended = time.Time{}
}

// end records that connections are accepted again.
func (s *acceptStall) end(now time.Time) {
	if s.ended.IsZero() {
		s.ended = now
	}
}

// clear records that no connection waits that a stall has held up.
func (s *acceptStall) clear() { *s = acceptStall{} }

// heldUp reports whether a connection that is accepted now may have been held up.
func (s *acceptStall) heldUp(now time.Time) bool {
	return !s.began.IsZero() && (s.ended.IsZero() || now.Sub(s.ended) < stallAftermath)
}

// heldUpFor returns for how long a connection that is accepted now may have been held up at
// most.
func (s *acceptStall) heldUpFor(now time.Time) time.Duration {
	if !s.heldUp(now) {
		return 0
	}
	return now.Sub(s.began)
}
