package discovery

import (
	"math/rand/v2"
	"time"
)

// In push mode, the nominal delay after a failed call starts at initialBackoff and doubles up to at most maxBackoff.
const (
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = time.Second
)

// maxBackoffFor returns the maximum delay after a failed call. In push mode, a node counts as notified of a drain
// as soon as the discovery service is reachable. The next call therefore has to start well within the grace period
// of the drain: in the first half, unless that is shorter than initialBackoff.
func maxBackoffFor(drainGrace time.Duration) time.Duration {
	return min(maxBackoff, max(initialBackoff, drainGrace/2))
}

// backoff is an exponential backoff with jitter. Without jitter, nodes whose calls failed at the same time would
// retry at the same time.
type backoff struct {
	nominalDelay time.Duration // delay after the next failure, before jitter
	maxDelay     time.Duration // maximum of nominalDelay
}

func newBackoff(maxDelay time.Duration) backoff {
	return backoff{nominalDelay: initialBackoff, maxDelay: maxDelay}
}

// next returns the delay before the next call, a random duration between half of the nominal delay and all of it.
// It then doubles the nominal delay, up to maxDelay.
func (b *backoff) next() time.Duration {
	delay := b.nominalDelay/2 + rand.N(b.nominalDelay/2)
	b.nominalDelay = min(2*b.nominalDelay, b.maxDelay)
	return delay
}

// reset sets the nominal delay back to initialBackoff.
func (b *backoff) reset() { b.nominalDelay = initialBackoff }

// jitter returns a random delay of up to initialBackoff. It does not grow from failure to failure; it only spreads
// the calls of the nodes.
func jitter() time.Duration { return rand.N(initialBackoff) }
