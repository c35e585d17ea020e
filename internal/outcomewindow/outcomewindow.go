// Package outcomewindow sums up the latest outcomes of some operation: a sliding window
// bounded by a number of outcomes and by their age.
package outcomewindow

import "time"

// outcome is one result of the operation.
type outcome struct {
	at      time.Duration
	success bool
	latency float64 // of a success, in the unit of the caller
}

// Window is a ring buffer of outcomes with their running sums. As an invariant, successes and latencySum cover
// exactly the outcomes in the window, which are the last ones before next. It is not safe for concurrent use.
type Window struct {
	ring       []outcome
	next       int // index of the next outcome to be written
	length     int // number of outcomes in the window
	successes  int
	latencySum float64 // of the successes
}

// New returns an empty window that keeps the latest outcomes up to capacity, which must be
// at least 1.
func New(capacity int) Window { return Window{ring: make([]outcome, capacity)} }

// AddSuccess records a success and its latency, in a unit of the caller's choice. A full window forgets its
// oldest outcome.
func (w *Window) AddSuccess(now time.Duration, latency float64) {
	w.add(outcome{at: now, success: true, latency: latency})
	w.successes++
	w.latencySum += latency
}

// AddFailure records a failure. A full window forgets its oldest outcome.
func (w *Window) AddFailure(now time.Duration) { w.add(outcome{at: now}) }

// add writes an outcome, but leaves the running sums to the caller.
func (w *Window) add(entry outcome) {
	if w.length == len(w.ring) {
		w.dropOldest()
	}
	w.ring[w.next] = entry
	w.next = (w.next + 1) % len(w.ring)
	w.length++
}

// Expire forgets the outcomes that are as old as maxAge or older.
func (w *Window) Expire(now, maxAge time.Duration) {
	for w.length > 0 && now-w.oldest().at >= maxAge {
		w.dropOldest()
	}
}

// Len returns the number of outcomes in the window.
func (w *Window) Len() int { return w.length }

// Successes returns the number of successes in the window.
func (w *Window) Successes() int { return w.successes }

// Failures returns the number of outcomes in the window that are no successes.
func (w *Window) Failures() int { return w.length - w.successes }

// LatencySum returns the sum of the latencies of the successes in the window.
func (w *Window) LatencySum() float64 { return w.latencySum }

// oldest returns the oldest outcome of a window that is not empty.
func (w *Window) oldest() *outcome {
	return &w.ring[(w.next+len(w.ring)-w.length)%len(w.ring)]
}

// dropOldest removes the oldest outcome and takes it out of the running sums.
func (w *Window) dropOldest() {
	oldest := w.oldest()
	w.length--
	if oldest.success {
		w.successes--
		w.latencySum -= oldest.latency
	}
}
