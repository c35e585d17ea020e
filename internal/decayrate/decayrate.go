// Package decayrate estimates the rate of events whose weight decays with age.
package decayrate

import "time"

// Meter is a rate per second in which past events fade approximately exponentially.
// It keeps no events, only their decayed sum. It is not safe for concurrent use.
type Meter struct {
	timeConstant time.Duration
	updatedAt    time.Duration
	rate         float64 // per second, as of updatedAt
}

// New returns a meter of rate 0. After one time constant an event counts for about 1/e of its weight.
func New(timeConstant time.Duration) Meter {
	return Meter{timeConstant: timeConstant}
}

// Add counts an event of the given weight. The time must not be before that of the last Add.
func (m *Meter) Add(now time.Duration, weight float64) {
	m.rate = m.PerSecond(now) + weight/m.timeConstant.Seconds()
	m.updatedAt = now
}

// PerSecond returns the weight per second as of now.
func (m *Meter) PerSecond(now time.Duration) float64 {
	elapsed := (now - m.updatedAt).Seconds() / m.timeConstant.Seconds()
	// The second-order expansion of exp(-elapsed) in the denominator stays above zero and is cheap.
	return m.rate / (1 + elapsed + elapsed*elapsed/2)
}
