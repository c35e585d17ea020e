package downstream

import "time"

const (
	// minAcceptPause is the shortest time without an accept that counts as a pause. It is
	// far below the accuracy that deadlines need.
	minAcceptPause = time.Millisecond
	// acceptPauseEffect is how long after a pause the connections that it has delayed are
	// accepted: some thousand can be in that time.
	acceptPauseEffect = 100 * time.Millisecond
)

// acceptPause is the latest time in which a listener accepted no connection, because the
// system failed to, or because one that it had accepted waited for its admission. It has
// delayed those that the system established meanwhile, with the requests that their
// clients sent.
type acceptPause struct {
	began time.Time // zero: there was none
	ended time.Time // zero while it lasts
}

// begin records that nothing is accepted from now on. A pause soon after another goes on
// with it.
func (p *acceptPause) begin(now time.Time) {
	if p.began.IsZero() || !p.delays(now) {
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

// reset records that no delayed connection waits any more.
func (p *acceptPause) reset() { *p = acceptPause{} }

// delays reports whether a connection that is accepted now may have been delayed.
func (p *acceptPause) delays(now time.Time) bool {
	return !p.began.IsZero() && (p.ended.IsZero() || now.Sub(p.ended) < acceptPauseEffect)
}

// maxDelay returns for how long a connection that is accepted now may have been delayed at
// most.
func (p *acceptPause) maxDelay(now time.Time) time.Duration {
	if !p.delays(now) {
		return 0
	}
	return now.Sub(p.began)
}
