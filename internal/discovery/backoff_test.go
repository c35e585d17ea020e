package discovery

import (
	"testing"
	"time"
)

// In push mode, a node counts as notified as soon as the discovery service is reachable, so it must make at
// least two calls within the drain grace period.
func TestMaxBackoffIsHalfTheDrainGrace(t *testing.T) {
	for ms, want := range map[int]time.Duration{
		300: 150 * time.Millisecond, 1000: 500 * time.Millisecond, 9000: time.Second, 0: initialBackoff,
	} {
		grace := time.Duration(ms) * time.Millisecond
		if client := New(Config{DrainGrace: grace}); client.maxBackoff != want {
			t.Errorf("New() with a drain grace period of %v: got maximum backoff %v, want %v",
				grace, client.maxBackoff, want)
		}
	}
}

// Each delay is at least half the nominal delay and less than the nominal delay, which doubles up to its maximum.
func TestBackoffDoublesUpToItsLimit(t *testing.T) {
	const ms = time.Millisecond
	delays := newBackoff(500 * ms)
	nominal := []time.Duration{100 * ms, 200 * ms, 400 * ms, 500 * ms, 500 * ms}
	for range 2 { // the second round follows a reset
		for i, longest := range nominal {
			if delay := delays.next(); delay < longest/2 || delay >= longest {
				t.Errorf("delay %d: got %v, want at least %v and less than %v", i, delay, longest/2, longest)
			}
		}
		delays.reset()
	}
}
