package decayrate

import (
	"math"
	"testing"
	"time"
)

func TestSteadyEventsGiveTheirRate(t *testing.T) {
	m := New(2 * time.Second)
	now := time.Hour
	for range 10000 {
		m.Add(now, 3)
		now += 10 * time.Millisecond
	}
	if got := m.PerSecond(now); math.Abs(got-300) > 3 {
		t.Errorf("PerSecond() after steady events = %.1f, want about 300", got)
	}
}

func TestRateDecaysByAboutEInOneTimeConstant(t *testing.T) {
	m := New(2 * time.Second)
	m.Add(time.Hour, 10)
	if got := m.PerSecond(time.Hour); got != 5 {
		t.Errorf("PerSecond() right after an event = %v, want 5, its weight divided by the time constant", got)
	}
	if got, want := m.PerSecond(time.Hour+2*time.Second), 5/math.E; math.Abs(got-want) > 0.1*want {
		t.Errorf("PerSecond() after one time constant = %.2f, want about %.2f", got, want)
	}
	if got := m.PerSecond(2 * time.Hour); got <= 0 || got > 0.01 {
		t.Errorf("PerSecond() an hour later = %v, want more than 0 and at most 0.01", got)
	}
}

func TestRateWithoutEventsIsZero(t *testing.T) {
	m := New(time.Second)
	if got := m.PerSecond(time.Minute); got != 0 {
		t.Errorf("PerSecond() without events = %v, want 0", got)
	}
}
