package history

import (
	"slices"
	"sync"
	"time"
)

const (
	// lagInterval is the interval at which the lag is measured. Only longer lags are recorded.
	lagInterval = 5 * time.Millisecond
	// lagWindow is how far before or after a given time a lag may be for MaxNear to include it.
	lagWindow = 500 * time.Millisecond
)

// SchedulingLag measures how late the system schedules the test process. The times that the process records may be
// late by the same amount.
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
	at  time.Time     // end of the lag or pause
	lag time.Duration // length of the lag or pause
}

// MeasureSchedulingLag starts a measurement. The caller must call Stop to end it.
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

// MaxNear returns the longest lag around a time, or 0 if there is none. It includes the lags that ended at most
// lagWindow before the time and the lags that began at most lagWindow after the time.
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
