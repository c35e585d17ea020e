package runningmean

import "testing"

func check(t *testing.T, m *Mean, value, samples float64) {
	t.Helper()
	if m.Value() != value || m.Samples() != samples {
		t.Errorf("mean %v of %v samples, want %v of %v", m.Value(), m.Samples(), value, samples)
	}
}

func TestMeanOfTheSamples(t *testing.T) {
	m := New(10)
	check(t, &m, 0, 0)
	for _, sample := range []float64{1, 2, 6} {
		m.Add(sample)
	}
	check(t, &m, 3, 3)
}

func TestGuessCountsAsOneSample(t *testing.T) {
	m := NewWithGuess(8, 10)
	check(t, &m, 8, 1)
	m.Add(4)
	check(t, &m, 6, 2)
}

func TestWeightOfThePastIsBounded(t *testing.T) {
	m := New(4)
	for range 100 {
		m.Add(0)
	}
	m.Add(8)
	check(t, &m, 2, 4)
}

func TestPriorKeepsTheMean(t *testing.T) {
	m := New(10)
	m.AddWithPrior(8, 3)
	check(t, &m, 2, 1)
	m.AddWithPrior(8, 4)
	check(t, &m, 3, 2)
}
