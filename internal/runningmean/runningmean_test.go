package runningmean

import "testing"

func checkMean(t *testing.T, m *Mean, value, samples float64) {
	t.Helper()
	if m.Value() != value || m.Samples() != samples {
		t.Errorf("got mean %v of %v samples, want %v of %v", m.Value(), m.Samples(), value, samples)
	}
}

func TestMeanOfSamples(t *testing.T) {
	m := New(10)
	checkMean(t, &m, 0, 0)
	for _, sample := range []float64{1, 2, 6} {
		m.Add(sample)
	}
	checkMean(t, &m, 3, 3)
}

func TestInitialValueCountsAsOneSample(t *testing.T) {
	m := NewWithInitial(8, 10)
	checkMean(t, &m, 8, 1)
	m.Add(4)
	checkMean(t, &m, 6, 2)
}

func TestWeightOfThePastIsBounded(t *testing.T) {
	m := New(4)
	for range 100 {
		m.Add(0)
	}
	m.Add(8)
	checkMean(t, &m, 2, 4)
}

func TestPriorReducesTheWeightOfASample(t *testing.T) {
	m := New(10)
	m.AddWithPrior(8, 3)
	checkMean(t, &m, 2, 1)
	m.AddWithPrior(8, 4)
	checkMean(t, &m, 3, 2)
}
