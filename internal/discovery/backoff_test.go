package discovery

import (
	"testing"
	"time"
)

// Where lists are pushed, a node counts as notified the moment that the discovery service is reachable:
// its calls come at least twice in a drain's grace period.
func TestMaxBackoffIsHalfTheDrainGrace(t *testing.T) {
	for ms, want := range map[int]time.Duration{
		300: 150 * time.Millisecond, 1000: 500 * time.Millisecond, 9000: time.Second, 0: initialBackoff,
	} {
		grace := time.Duration(ms) * time.Millisecond
		if client := New(Config{DrainGrace: grace}); client.maxBackoff != want {
			t.Errorf("a grace period of %d ms: %v between calls, want %v", ms, client.maxBackoff, want)
		}
	}
}

// Each delay is between half of the nominal one and the whole, and the nominal one doubles up to the limit.
func TestBackoffDoublesUpToItsLimit(t *testing.T) {
	const ms = time.Millisecond
	delays := newBackoff(500 * ms)
	nominal := []time.Duration{100 * ms, 200 * ms, 400 * ms, 500 * ms, 500 * ms}
	for range 2 { // the second time after a reset
		for i, longest := range nominal {
			if delay := delays.next(); delay < longest/2 || delay >= longest {
				t.Errorf("delay %d is %v, want from %v to %v", i, delay, longest/2, longest)
			}
		}
		delays.reset()
	}
}
