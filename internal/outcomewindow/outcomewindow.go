// Package outcomewindow summarizes the most recent outcomes of an operation in a sliding window, which is limited by
// the number of outcomes and by their age.
package outcomewindow

import "time"

// outcome is the result of one operation.
type outcome struct {
	at      time.Duration
	success bool
	latency float64 // latency of a success, in the caller's unit; 0 for a failure
}

// Window is a ring buffer of outcomes with running totals. It is not safe for concurrent use.
//
// Invariant: the outcomes in the window are the last entries of the ring before index next, as many as the field
// length says. The totals successes and latencySum cover exactly these outcomes.
type Window struct {
	ring       []outcome
	next       int // index at which the next outcome is written
	length     int // number of outcomes in the window
	successes  int
	latencySum float64 // sum of the latencies of the successes, in the caller's unit
}

// New returns an empty window that keeps up to capacity outcomes. The capacity must be at least 1.
func New(capacity int) Window { return Window{ring: make([]outcome, capacity)} }

// AddSuccess records a success and its latency, in a unit of the caller's choice. If the window is full, it drops the
// oldest outcome.
func (w *Window) AddSuccess(now time.Duration, latency float64) {
	w.add(outcome{at: now, success: true, latency: latency})
	w.successes++
	w.latencySum += latency
}

// AddFailure records a failure. If the window is full, it drops the oldest outcome.
func (w *Window) AddFailure(now time.Duration) { w.add(outcome{at: now}) }

// add appends an outcome. The caller adds it to the running totals.
func (w *Window) add(entry outcome) {
	if w.length == len(w.ring) {
		w.dropOldest()
	}
	w.ring[w.next] = entry
	w.next = (w.next + 1) % len(w.ring)
	w.length++
}

// Expire drops the outcomes whose age is maxAge or more.
func (w *Window) Expire(now, maxAge time.Duration) {
	for w.length > 0 && now-w.oldest().at >= maxAge {
		w.dropOldest()
	}
}

// Len returns the number of outcomes in the window.
func (w *Window) Len() int { return w.length }

// Successes returns the number of successes in the window.
func (w *Window) Successes() int { return w.successes }

// Failures returns the number of failures in the window.
func (w *Window) Failures() int { return w.length - w.successes }

// LatencySum returns the sum of the latencies of the successes in the window.
func (w *Window) LatencySum() float64 { return w.latencySum }

// oldest returns the oldest outcome. The window must not be empty.
func (w *Window) oldest() *outcome {
	return &w.ring[(w.next+len(w.ring)-w.length)%len(w.ring)]
}

// dropOldest removes the oldest outcome from the window and from the running totals.
func (w *Window) dropOldest() {
	oldest := w.oldest()
	w.length--
	if oldest.success {
		w.successes--
		w.latencySum -= oldest.latency
	}
}
