package milliseconds

import (
	"math"
	"testing"
	"time"
)

func TestToDurationRoundsToTheNanosecond(t *testing.T) {
	for _, test := range []struct {
		milliseconds float64
		want         time.Duration
	}{
		{0, 0},
		{1, time.Millisecond},
		{-1, -time.Millisecond},
		{18.5, 18500 * time.Microsecond},
		{2.3, 2300 * time.Microsecond}, // 2.3 * 1e6 is slightly less than 2300000
		{0.0000004, 0},
		{0.0000006, time.Nanosecond},
		{-0.0000006, -time.Nanosecond},
		{86_400_000, 24 * time.Hour},
		{2e12, 2_000_000_000 * time.Second},
		{-2e12, -2_000_000_000 * time.Second},
	} {
		if got, ok := ToDuration(test.milliseconds); !ok || got != test.want {
			t.Errorf("ToDuration(%v) = %v, %v; want %v, true", test.milliseconds, got, ok, test.want)
		}
	}
}

func TestToDurationRejectsNaNAndValuesOutOfRange(t *testing.T) {
	for _, value := range []float64{
		math.NaN(), math.Inf(1), math.Inf(-1), 1e300, -1e300, limit, -limit, 2.4e12, -2.4e12,
	} {
		if got, ok := ToDuration(value); ok || got != 0 {
			t.Errorf("ToDuration(%v) = %v, %v; want 0, false", value, got, ok)
		}
	}
}

func TestSumsOfThreeTimesInRangeDoNotOverflow(t *testing.T) {
	longest, ok := ToDuration(math.Nextafter(limit, 0))
	if !ok || longest > math.MaxInt64/3 {
		t.Errorf("ToDuration of the largest valid value = %d ns, %v; want at most a third of the range, true",
			longest, ok)
	}
}

func TestFromDurationKeepsFractions(t *testing.T) {
	for _, test := range []struct {
		duration time.Duration
		want     float64
	}{
		{0, 0},
		{time.Millisecond, 1},
		{1500 * time.Microsecond, 1.5},
		{time.Nanosecond, 1e-6},
		{-80 * time.Millisecond, -80},
		{time.Hour, 3_600_000},
	} {
		if got := FromDuration(test.duration); got != test.want {
			t.Errorf("FromDuration(%v) = %v, want %v", test.duration, got, test.want)
		}
	}
}

func TestConversionsAreInverse(t *testing.T) {
	for _, duration := range []time.Duration{0, 1, -1, 999, 1234567, time.Minute, -36 * time.Hour} {
		if got, ok := ToDuration(FromDuration(duration)); !ok || got != duration {
			t.Errorf("ToDuration(FromDuration(%v)) = %v, %v; want %v, true", duration, got, ok, duration)
		}
	}
}
