package tokenbucket

import (
	"testing"
	"time"
)

// takeUpTo takes up to limit tokens at the given time and returns how many were available.
func takeUpTo(b *Bucket, now time.Duration, limit int) int {
	taken := 0
	for taken < limit && b.Take(now) {
		taken++
	}
	return taken
}

func TestBurstIsLimitedToTheTokensOfOneSecond(t *testing.T) {
	b := New(5)
	if n := takeUpTo(&b, time.Hour, 100); n != 5 {
		t.Errorf("tokens after a long pause: got %d, want 5", n)
	}
	if n := takeUpTo(&b, time.Hour+400*time.Millisecond, 100); n != 2 {
		t.Errorf("tokens 0.4 s after the burst: got %d, want 2", n)
	}
}

func TestRateBelowOnePerSecondStillAccumulatesOneToken(t *testing.T) {
	b := New(0.5)
	if n := takeUpTo(&b, time.Hour, 100); n != 1 {
		t.Errorf("tokens after a long pause: got %d, want 1", n)
	}
	if b.Take(time.Hour + time.Second) {
		t.Error("Take() = true after half the time to refill a token, want false")
	}
	if !b.Take(time.Hour + 2*time.Second) {
		t.Error("Take() = false after the time to refill a token, want true")
	}
}

func TestRateZeroIsUnlimited(t *testing.T) {
	b := New(0)
	if n := takeUpTo(&b, time.Hour, 1000); n != 1000 {
		t.Errorf("tokens without a limit: got %d, want all 1000", n)
	}
}

func TestReturnedTokenCanBeTakenAgain(t *testing.T) {
	b := New(1)
	takeUpTo(&b, time.Hour, 100)
	b.Return()
	if n := takeUpTo(&b, time.Hour, 100); n != 1 {
		t.Errorf("tokens after a token was returned: got %d, want 1", n)
	}
}
