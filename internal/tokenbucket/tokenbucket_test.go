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
		t.Errorf("%d tokens after a long pause, want 5", n)
	}
	if n := takeUpTo(&b, time.Hour+400*time.Millisecond, 100); n != 2 {
		t.Errorf("%d tokens after 0.4 s, want 2", n)
	}
}

func TestRateBelowOnePerSecondStillAccumulatesOneToken(t *testing.T) {
	b := New(0.5)
	if n := takeUpTo(&b, time.Hour, 100); n != 1 {
		t.Errorf("%d tokens, want 1", n)
	}
	if b.Take(time.Hour + time.Second) {
		t.Error("took a token after half of the time to refill one")
	}
	if !b.Take(time.Hour + 2*time.Second) {
		t.Error("no token after the time to refill one")
	}
}

func TestRateZeroIsUnlimited(t *testing.T) {
	b := New(0)
	if n := takeUpTo(&b, time.Hour, 1000); n != 1000 {
		t.Errorf("took %d tokens without a limit, want all 1000", n)
	}
}

func TestReturnedTokenCanBeTakenAgain(t *testing.T) {
	b := New(1)
	takeUpTo(&b, time.Hour, 100)
	b.Return()
	if n := takeUpTo(&b, time.Hour, 100); n != 1 {
		t.Errorf("%d tokens after one was returned, want 1", n)
	}
}
