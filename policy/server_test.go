package policy

import (
	"testing"
	"time"
)

func TestRestartDiscardsMeasurementsAndReturnsAttemptsInFlight(t *testing.T) {
	s := newServer(7)
	s.Endpoint = Endpoint{Server: 3, State: EndpointReady, Cell: 2}
	first := &attempt{server: s}
	s.startAttempt(first)
	s.breaker.recordFailure(time.Second)
	s.score.recordFailure(time.Second)

	lost := s.restart()

	if len(lost) != 1 || lost[0] != first {
		t.Errorf("attempts returned by restart: got %d, want only the attempt in flight", len(lost))
	}
	if s.Endpoint != (Endpoint{Server: 3, State: EndpointReady, Cell: 2}) || s.ringPosition != 7 {
		t.Errorf("after restart: got endpoint %+v at ring position %d, want both unchanged", s.Endpoint, s.ringPosition)
	}
	if len(s.inFlight) != 0 || len(s.breaker.failures) != 0 || s.score.outcomes.Len() != 0 {
		t.Errorf("after restart: got %d attempts in flight, %d consecutive failures, %d outcomes; want none",
			len(s.inFlight), len(s.breaker.failures), s.score.outcomes.Len())
	}
	s.endAttempt(first) // the attempt was sent to the previous process
	if len(s.inFlight) != 0 {
		t.Errorf("attempts in flight after the lost attempt ended: got %d, want 0", len(s.inFlight))
	}
}
