package jitter

import (
	"math/rand/v2"
	"testing"
	"time"
)

// drawRange returns the shortest and the longest of many delays that draw returns for the given delay.
func drawRange(draw func(*rand.Rand, time.Duration) time.Duration, delay time.Duration) (
	time.Duration, time.Duration,
) {
	random := rand.New(rand.NewPCG(1, 0))
	shortest := draw(random, delay)
	longest := shortest
	for range 10000 {
		drawn := draw(random, delay)
		shortest, longest = min(shortest, drawn), max(longest, drawn)
	}
	return shortest, longest
}

func TestFullCoversAllDelaysUpToTheGivenOne(t *testing.T) {
	shortest, longest := drawRange(Full, time.Second)
	if shortest < 0 || shortest > 10*time.Millisecond || longest < 990*time.Millisecond || longest > time.Second {
		t.Errorf("Full(1s): got delays from %v to %v, want 0s to 1s", shortest, longest)
	}
}

func TestProportionalStaysWithinItsShare(t *testing.T) {
	drawProportional := func(random *rand.Rand, delay time.Duration) time.Duration {
		return Proportional(random, delay, 0.2)
	}
	shortest, longest := drawRange(drawProportional, time.Second)
	if shortest < 800*time.Millisecond || shortest > 810*time.Millisecond ||
		longest < 1190*time.Millisecond || longest > 1200*time.Millisecond {
		t.Errorf("Proportional(1s, 0.2): got delays from %v to %v, want 0.8s to 1.2s", shortest, longest)
	}
}
