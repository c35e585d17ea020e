package discovery

import (
	"math/rand/v2"
	"time"
)

// The range of the delays between failed calls where lists are pushed.
const (
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = time.Second
)

// maxBackoffFor returns the longest delay between failed calls. Where lists are pushed, a node counts as
// notified of a drain the moment that the discovery service is reachable, so that the delay has to be
// well within the drain's grace period.
func maxBackoffFor(drainGrace time.Duration) time.Duration {
	return min(maxBackoff, max(initialBackoff, drainGrace/2))
}

// backoff is an exponential backoff with equal jitter: nodes whose calls failed at the same moment must
// not repeat them at the same moment.
type backoff struct {
	delay, longest time.Duration
}

func newBackoff(longest time.Duration) backoff {
	return backoff{delay: initialBackoff, longest: longest}
}

// next returns the delay before the next call and doubles the one after that.
func (b *backoff) next() time.Duration {
	delay := b.delay/2 + rand.N(b.delay/2)
	b.delay = min(2*b.delay, b.longest)
	return delay
}

// reset starts again from the initial delay.
func (b *backoff) reset() { b.delay = initialBackoff }

// shortDelay returns a delay that only spreads the nodes' calls.
func shortDelay() time.Duration { return rand.N(initialBackoff) }
