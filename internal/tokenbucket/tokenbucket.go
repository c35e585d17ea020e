// Package tokenbucket limits the rate of events while allowing short bursts.
package tokenbucket

import "time"

// Bucket is a token bucket that refills at a constant rate. Its capacity is the tokens of one second, but at least
// one token. It is not safe for concurrent use.
type Bucket struct {
	perSecond  float64       // tokens refilled per second; 0 means no limit
	tokens     float64       // tokens available at the time refilledAt
	refilledAt time.Duration // time of the latest refill
}

// New returns a bucket that holds the tokens of one second at time 0. A rate of 0 means no limit: Take always
// succeeds.
func New(perSecond float64) Bucket {
	return Bucket{perSecond: perSecond, tokens: perSecond}
}

// Take takes a token and reports whether one was available.
func (b *Bucket) Take(now time.Duration) bool {
	capacity := max(b.perSecond, 1)
	b.tokens = min(capacity, b.tokens+b.perSecond*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	if b.perSecond > 0 && b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Return puts back a token that was taken but not used.
func (b *Bucket) Return() { b.tokens++ }
