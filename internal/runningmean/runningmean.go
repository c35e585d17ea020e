// Package runningmean averages samples as they come, without keeping them.
package runningmean

// Mean is the mean of its samples up to a number of them, and beyond that an exponential moving average
// in which each sample has the same small weight. The zero value is not usable.
type Mean struct {
	value      float64
	samples    float64 // weight of value
	maxSamples float64
}

// New returns a mean without samples. The weight of its past never exceeds that of maxSamples samples.
func New(maxSamples int) Mean { return Mean{maxSamples: float64(maxSamples)} }

// NewWithGuess returns a mean that starts from a guess, which counts as one sample.
func NewWithGuess(guess float64, maxSamples int) Mean {
	return Mean{value: guess, samples: 1, maxSamples: float64(maxSamples)}
}

// Add takes a sample into the mean.
func (m *Mean) Add(sample float64) { m.AddWithPrior(sample, 0) }

// AddWithPrior takes a sample as Add does, but gives the present mean an additional weight of prior samples, so
// that the new sample changes it less.
func (m *Mean) AddWithPrior(sample, prior float64) {
	m.samples = min(m.samples+1, m.maxSamples)
	m.value += (sample - m.value) / (m.samples + prior)
}

// Value returns the mean, 0 without samples.
func (m *Mean) Value() float64 { return m.value }

// Samples returns the number of samples, a guess included, maxSamples at most.
func (m *Mean) Samples() float64 { return m.samples }
