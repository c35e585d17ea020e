package discovery

import (
	"math/rand/v2"
	"time"
)

// Where lists are pushed, the nominal delay after a failed call grows from initialBackoff to maxBackoff.
const (
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = time.Second
)

// maxBackoffFor returns the longest delay after a failed call. Where lists are pushed, a node counts as
// notified of a drain as soon as the discovery service is reachable. The next call has to come well
// within the drain's grace period.
func maxBackoffFor(drainGrace time.Duration) time.Duration {
	return min(maxBackoff, max(initialBackoff, drainGrace/2))
}

// backoff is an exponential backoff with equal jitter: nodes whose calls failed at the same moment must
// not repeat them at the same moment.
type backoff struct {
	nominalDelay time.Duration // the nominal delay after the next failure
	maxDelay     time.Duration
}

func newBackoff(maxDelay time.Duration) backoff {
	return backoff{nominalDelay: initialBackoff, maxDelay: maxDelay}
}

// next returns the delay before the next call, and doubles the nominal delay.
func (b *backoff) next() time.Duration {
	delay := b.nominalDelay/2 + rand.N(b.nominalDelay/2)
	b.nominalDelay = min(2*b.nominalDelay, b.maxDelay)
	return delay
}

// reset returns the nominal delay to its initial value.
func (b *backoff) reset() { b.nominalDelay = initialBackoff }

// jitter returns a delay that only spreads the nodes' calls.
func jitter() time.Duration { return rand.N(initialBackoff) }
