package history

import (
	"slices"
	"sync"
	"time"
)

const (
	// lagInterval is how often the lag is measured.
	lagInterval = 5 * time.Millisecond
	// lagWindow is how far from a time MaxNear considers the lag.
	lagWindow = 500 * time.Millisecond
)

// SchedulingLag measures how late the system scheduled this process. What the process recorded is late by as
// much.
type SchedulingLag struct {
	lagSeries
	stop chan struct{}
}

// lagSeries is a series of measured lags of one process.
type lagSeries struct {
	mu      sync.Mutex
	samples []lagSample // in order of time
}

// lagSample is one measured lag.
type lagSample struct {
	at  time.Time
	lag time.Duration
}

// MeasureSchedulingLag starts a measurement. The caller stops it.
func MeasureSchedulingLag() *SchedulingLag {
	l := &SchedulingLag{stop: make(chan struct{})}
	go l.measure()
	return l
}

// Stop ends the measurement.
func (l *SchedulingLag) Stop() { close(l.stop) }

// measure records each lag that is longer than the interval itself, until Stop is called.
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

// add adds a lag that has just ended.
func (s *lagSeries) add(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = append(s.samples, lagSample{time.Now(), lag})
}

// MaxNear returns the greatest lag around a time.
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
