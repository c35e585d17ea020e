package policy

import (
	"testing"
	"time"
)

func TestRestartDiscardsTheMeasurementsAndReturnsTheAttempts(t *testing.T) {
	s := newServer(7)
	s.Endpoint = Endpoint{Server: 3, State: Ready, Cell: 2}
	first := &attempt{server: s}
	s.startAttempt(first)
	s.breaker.recordFailure(time.Second)
	s.score.recordFailure(time.Second)

	lost := s.restart()

	if len(lost) != 1 || lost[0] != first {
		t.Errorf("lost attempts %v, want the one in flight", lost)
	}
	if s.Endpoint != (Endpoint{Server: 3, State: Ready, Cell: 2}) || s.ringPosition != 7 {
		t.Errorf("endpoint %+v at position %d, want it unchanged", s.Endpoint, s.ringPosition)
	}
	if len(s.inFlight) != 0 || len(s.breaker.failures) != 0 || s.score.outcomes.Len() != 0 {
		t.Error("measurements of the previous process are kept")
	}
	s.endAttempt(first) // has no effect on the new process
	if len(s.inFlight) != 0 {
		t.Errorf("%d attempts in flight at the new process", len(s.inFlight))
	}
}
