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
		t.Errorf("%.1f per second, want 300", got)
	}
}

func TestRateFadesByAboutEInOneTimeConstant(t *testing.T) {
	m := New(2 * time.Second)
	m.Add(time.Hour, 10)
	if got := m.PerSecond(time.Hour); got != 5 {
		t.Errorf("%v per second right after an event, want its weight over the time constant", got)
	}
	if got, want := m.PerSecond(time.Hour+2*time.Second), 5/math.E; math.Abs(got-want) > 0.1*want {
		t.Errorf("%.2f per second after one time constant, want about %.2f", got, want)
	}
	if got := m.PerSecond(2 * time.Hour); got <= 0 || got > 0.01 {
		t.Errorf("%v per second long after, want a little above zero", got)
	}
}

func TestMeterWithoutEventsIsZero(t *testing.T) {
	m := New(time.Second)
	if got := m.PerSecond(time.Minute); got != 0 {
		t.Errorf("%v per second, want 0", got)
	}
}
