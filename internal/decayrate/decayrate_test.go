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
		t.Errorf("rate %.1f per second, want 300", got)
	}
}

func TestRateDecaysByAboutEInOneTimeConstant(t *testing.T) {
	m := New(2 * time.Second)
	m.Add(time.Hour, 10)
	if got := m.PerSecond(time.Hour); got != 5 {
		t.Errorf("rate %v per second right after an event, want 5, its weight divided by the time constant", got)
	}
	if got, want := m.PerSecond(time.Hour+2*time.Second), 5/math.E; math.Abs(got-want) > 0.1*want {
		t.Errorf("rate %.2f per second after one time constant, want about %.2f", got, want)
	}
	if got := m.PerSecond(2 * time.Hour); got <= 0 || got > 0.01 {
		t.Errorf("rate %v per second an hour later, want positive and at most 0.01", got)
	}
}

func TestRateWithoutEventsIsZero(t *testing.T) {
	m := New(time.Second)
	if got := m.PerSecond(time.Minute); got != 0 {
		t.Errorf("rate %v per second, want 0", got)
	}
}
