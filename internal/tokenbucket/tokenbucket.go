// Package tokenbucket limits the rate of events while it admits short bursts.
package tokenbucket

import "time"

// Bucket is a token bucket. It gains tokens at a steady rate. It has room for the tokens of one second, and for one
// token at least. It is not safe for concurrent use.
type Bucket struct {
	perSecond  float64
	tokens     float64
	refilledAt time.Duration
}

// New returns a bucket that holds one second's worth of tokens as of time 0.
// A rate of 0 means no limit: Take always succeeds.
func New(perSecond float64) Bucket {
	return Bucket{perSecond: perSecond, tokens: perSecond}
}

// Take removes a token and reports whether there was one.
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

// Return puts back a token that was taken and not used.
func (b *Bucket) Return() { b.tokens++ }
