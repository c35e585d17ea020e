package history

import (
	"slices"
	"sync"
	"time"
)

const (
	// lagInterval is the interval at which the lag is measured.
	lagInterval = 5 * time.Millisecond
	// lagWindow is the distance from a given time within which MaxNear considers samples.
	lagWindow = 500 * time.Millisecond
)

// SchedulingLag measures by how much the system schedules the test process late. The times that the process
// records may be late by as much.
type SchedulingLag struct {
	lagSeries
	stop chan struct{}
}

// lagSeries is a series of lags or pauses of one process.
type lagSeries struct {
	mu      sync.Mutex
	samples []lagSample // in order of time
}

// lagSample is one lag or pause.
type lagSample struct {
	at  time.Time // its end
	lag time.Duration
}

// MeasureSchedulingLag starts a measurement. The caller must stop it.
func MeasureSchedulingLag() *SchedulingLag {
	l := &SchedulingLag{stop: make(chan struct{})}
	go l.measure()
	return l
}

// Stop ends the measurement.
func (l *SchedulingLag) Stop() { close(l.stop) }

// measure records each lag that is longer than lagInterval, until Stop is called.
func (l *SchedulingLag) measure() {
	for {
		before := time.Now()
		select {
		case <-l.stop:
			return
		case <-time.After(lagInterval):
		}
		if lag := time.Since(before) - lagInterval; lag > lagInterval {
			l.add(lag)
		}
	}
}

// add adds a lag that ends now.
func (s *lagSeries) add(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = append(s.samples, lagSample{time.Now(), lag})
}

// MaxNear returns the longest lag around a time: of those that ended within lagWindow before it or began within
// lagWindow after it. It returns 0 if there is none.
func (s *lagSeries) MaxNear(at time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, _ := slices.BinarySearchFunc(s.samples, at.Add(-lagWindow), func(sample lagSample, from time.Time) int {
		return sample.at.Compare(from)
	})
	greatest := time.Duration(0)
	for _, sample := range s.samples[first:] {
		if sample.at.Sub(at) > lagWindow+sample.lag {
			break
		}
		greatest = max(greatest, sample.lag)
	}
	return greatest
}
