// Package decayrate estimates the rate of events with weights that decay with age.
package decayrate

import "time"

// Meter estimates the rate of events per second. The weight of an event in the rate decays approximately
// exponentially with its age. A Meter stores only the current rate, not the events. It is not safe for concurrent use.
type Meter struct {
	timeConstant time.Duration
	updatedAt    time.Duration
	rate         float64 // rate at the time updatedAt, in weight per second
}

// New returns a meter with rate 0. After one time constant, an event has decayed to about 1/e of its weight.
func New(timeConstant time.Duration) Meter {
	return Meter{timeConstant: timeConstant}
}

// Add records an event with the given weight. The time must not precede that of the previous Add.
func (m *Meter) Add(now time.Duration, weight float64) {
	m.rate = m.PerSecond(now) + weight/m.timeConstant.Seconds()
	m.updatedAt = now
}

// PerSecond returns the rate as of now, in weight per second.
func (m *Meter) PerSecond(now time.Duration) float64 {
	elapsed := (now - m.updatedAt).Seconds() / m.timeConstant.Seconds() // in time constants
	// Dividing by the second-order expansion of exp(elapsed) approximates exp(-elapsed). It is cheap, and the divisor
	// is always positive.
	return m.rate / (1 + elapsed + elapsed*elapsed/2)
}
