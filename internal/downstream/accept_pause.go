package downstream

import "time"

const (
	// minAcceptPause is the shortest time without an accept that counts as a pause. It is
	// far below the accuracy that deadlines need.
	minAcceptPause = time.Millisecond
	// backlogClearTime is how long after a pause an accepted connection may still be one
	// that the pause has delayed.
	backlogClearTime = 100 * time.Millisecond
)

// acceptPause is the latest time in which a listener accepted no connection: accept failed,
// or the connection accepted last waited for its admission. The pause delays the connections
// that the system establishes meanwhile, and the requests that their clients send.
type acceptPause struct {
	began time.Time // zero: there was none
	ended time.Time // zero while it lasts
}

// begin records that nothing is accepted from now on. A pause that begins soon after another
// continues that one.
func (p *acceptPause) begin(now time.Time) {
	if p.began.IsZero() || !p.mayHaveDelayed(now) {
		p.began = now
	}
	p.ended = time.Time{}
}

// end records that connections are accepted again.
func (p *acceptPause) end(now time.Time) {
	if p.ended.IsZero() {
		p.ended = now
	}
}

// reset records that no delayed connection is left in the accept queue.
func (p *acceptPause) reset() { *p = acceptPause{} }

// mayHaveDelayed reports whether a connection that is accepted now may have been delayed.
func (p *acceptPause) mayHaveDelayed(now time.Time) bool {
	return !p.began.IsZero() && (p.ended.IsZero() || now.Sub(p.ended) < backlogClearTime)
}

// maxDelay returns the longest time for which a connection that is accepted now may have been
// delayed.
func (p *acceptPause) maxDelay(now time.Time) time.Duration {
	if !p.mayHaveDelayed(now) {
		return 0
	}
	return now.Sub(p.began)
}
