package downstream

import "time"

const (
	// minAcceptPause is the shortest time without an accept that counts as a pause. It is far
	// smaller than the accuracy required of deadlines.
	minAcceptPause = time.Millisecond
	// acceptQueueClearTime is the time after a pause during which an accepted connection may still be
	// one that was established during the pause.
	acceptQueueClearTime = 100 * time.Millisecond
)

// acceptPause is the most recent period in which a listener accepted no connections, because accept
// failed or the previous connection was waiting for its admission. The pause delays the connections
// that the kernel establishes during it, and the requests that their clients send.
type acceptPause struct {
	began time.Time // zero if there was no pause
	ended time.Time // zero during the pause
}

// begin records that no connections are accepted from now on. A pause that begins within
// acceptQueueClearTime after the previous one extends it.
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

// reset discards the pause because the accept queue contains no delayed connections any more.
func (p *acceptPause) reset() { *p = acceptPause{} }

// mayHaveDelayed reports whether the pause may have delayed a connection that is accepted now.
func (p *acceptPause) mayHaveDelayed(now time.Time) bool {
	return !p.began.IsZero() && (p.ended.IsZero() || now.Sub(p.ended) < acceptQueueClearTime)
}

// maxDelay returns the longest time by which the pause may have delayed a connection that is accepted
// now.
func (p *acceptPause) maxDelay(now time.Time) time.Duration {
	if !p.mayHaveDelayed(now) {
		return 0
	}
	return now.Sub(p.began)
}
