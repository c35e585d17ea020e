// Package jitter randomizes delays, so that nodes that act at the same time do not stay synchronized.
package jitter

import (
	"math/rand/v2"
	"time"
)

// Full draws a delay between 0 and the given one ("full jitter").
func Full(random *rand.Rand, delay time.Duration) time.Duration {
	return time.Duration(random.Float64() * float64(delay))
}

// Proportional varies a delay by up to the given share of it either way. With a share under a third
// the delays of an exponential backoff that doubles still grow.
func Proportional(random *rand.Rand, delay time.Duration, share float64) time.Duration {
	return time.Duration(float64(delay) * (1 - share + 2*share*random.Float64()))
}
