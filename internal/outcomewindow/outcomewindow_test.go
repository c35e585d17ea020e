package outcomewindow

import (
	"testing"
	"time"
)

func checkWindow(t *testing.T, w *Window, length, successes int, latencySum float64) {
	t.Helper()
	if w.Len() != length || w.Successes() != successes || w.Failures() != length-successes ||
		w.LatencySum() != latencySum {
		t.Errorf("window: got %d outcomes, %d successes, %d failures, latency sum %v; want %d, %d, %d, %v",
			w.Len(), w.Successes(), w.Failures(), w.LatencySum(), length, successes, length-successes, latencySum)
	}
}

func TestNewWindowIsEmpty(t *testing.T) {
	w := New(3)
	checkWindow(t, &w, 0, 0, 0)
	w.Expire(time.Hour, time.Second)
	checkWindow(t, &w, 0, 0, 0)
}

func TestFailureAddsNoLatency(t *testing.T) {
	w := New(3)
	w.AddSuccess(1, 2)
	w.AddFailure(2)
	checkWindow(t, &w, 2, 1, 2)
}

func TestFullWindowDropsTheOldestOutcome(t *testing.T) {
	w := New(3)
	for i := range 7 {
		if now := time.Duration(i); i%2 == 0 {
			w.AddSuccess(now, float64(i))
		} else {
			w.AddFailure(now)
		}
	}
	checkWindow(t, &w, 3, 2, 4+6)
}

func TestExpireDropsOutcomesOfTheMaximumAge(t *testing.T) {
	w := New(3)
	w.AddSuccess(1*time.Second, 1)
	w.AddSuccess(2*time.Second, 2)
	w.AddFailure(3 * time.Second)
	w.Expire(7*time.Second, 5*time.Second)
	checkWindow(t, &w, 1, 0, 0)
	w.Expire(time.Minute, 5*time.Second)
	checkWindow(t, &w, 0, 0, 0)
	w.AddSuccess(time.Minute, 8)
	checkWindow(t, &w, 1, 1, 8)
}
