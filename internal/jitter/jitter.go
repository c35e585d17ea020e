// Package jitter randomizes delays, so that nodes that act at the same time do not remain synchronized.
package jitter

import (
	"math/rand/v2"
	"time"
)

// Full returns a random delay between 0 and the given one ("full jitter").
func Full(random *rand.Rand, delay time.Duration) time.Duration {
	return time.Duration(random.Float64() * float64(delay))
}

// Proportional returns a random delay that differs from the given one by at most the given share of it. If the
// share is less than a third, the delays of a backoff that doubles still increase from one retry to the next.
func Proportional(random *rand.Rand, delay time.Duration, share float64) time.Duration {
	return time.Duration(float64(delay) * (1 - share + 2*share*random.Float64()))
}
