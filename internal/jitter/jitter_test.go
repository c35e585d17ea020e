package jitter

import (
	"math/rand/v2"
	"testing"
	"time"
)

// drawRange returns the least and the greatest of many draws.
func drawRange(draw func(*rand.Rand, time.Duration) time.Duration, delay time.Duration) (
	time.Duration, time.Duration,
) {
	random := rand.New(rand.NewPCG(1, 0))
	least := draw(random, delay)
	greatest := least
	for range 10000 {
		drawn := draw(random, delay)
		least, greatest = min(least, drawn), max(greatest, drawn)
	}
	return least, greatest
}

func TestFullCoversAllDelaysBelow(t *testing.T) {
	least, greatest := drawRange(Full, time.Second)
	if least < 0 || least > 10*time.Millisecond || greatest < 990*time.Millisecond || greatest > time.Second {
		t.Errorf("delays from %v to %v, want 0 to 1 s", least, greatest)
	}
}

func TestProportionalStaysWithinItsShare(t *testing.T) {
	aFifth := func(random *rand.Rand, delay time.Duration) time.Duration {
		return Proportional(random, delay, 0.2)
	}
	least, greatest := drawRange(aFifth, time.Second)
	if least < 800*time.Millisecond || least > 810*time.Millisecond ||
		greatest < 1190*time.Millisecond || greatest > 1200*time.Millisecond {
		t.Errorf("delays from %v to %v, want 0.8 s to 1.2 s", least, greatest)
	}
}
