// Package runningmean computes the mean of a stream of samples without storing them.
package runningmean

// Mean is the arithmetic mean of the first maxSamples samples. From then on, it is an exponential moving average, in
// which a sample that is passed to Add has the weight 1/maxSamples. The zero value is not usable.
type Mean struct {
	value      float64
	samples    float64 // weight of the mean, in samples
	maxSamples float64 // greatest weight of the mean, in samples
}

// New returns a mean without samples. Its weight never exceeds the weight of maxSamples samples.
func New(maxSamples int) Mean { return Mean{maxSamples: float64(maxSamples)} }

// NewWithInitial returns a mean with an initial value, which counts as one sample.
func NewWithInitial(initial float64, maxSamples int) Mean {
	return Mean{value: initial, samples: 1, maxSamples: float64(maxSamples)}
}

// Add adds a sample to the mean.
func (m *Mean) Add(sample float64) { m.AddWithPrior(sample, 0) }

// AddWithPrior adds a sample as Add does, but the new sample changes the mean less: for this sample, the current mean
// has an additional weight, which prior gives in samples.
func (m *Mean) AddWithPrior(sample, prior float64) {
	m.samples = min(m.samples+1, m.maxSamples)
	m.value += (sample - m.value) / (m.samples + prior)
}

// Value returns the mean, or 0 if there are no samples.
func (m *Mean) Value() float64 { return m.value }

// Samples returns the number of samples, including an initial value, but at most maxSamples.
func (m *Mean) Samples() float64 { return m.samples }
