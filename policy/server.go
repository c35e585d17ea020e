package policy

// A server with the measurements of its current process.

import (
	"slices"
	"time"

	"calicohinge/internal/runningmean"
)

// server is an endpoint with what this node has measured of its current process. Each concern changes its
// own field.
type server struct {
	Endpoint
	sameZone     bool          // as this node
	ringPosition uint64        // the same at every node; adjacent within a cell, which may be a key's scope
	inFlight     []*attempt    // of this node, oldest first
	respondedAt  time.Duration // time of the latest response

	breaker  circuitBreaker
	score    serverScore
	baseline runningmean.Mean // logarithm of its unloaded latencies over the baselines of their classes
	budget   slowStartBudget
}

func newServer(ringPosition uint64) *server {
	return &server{
		ringPosition: ringPosition,
		breaker:      newCircuitBreaker(),
		score:        newServerScore(),
		baseline:     runningmean.New(maxServerSamples),
	}
}

// restart discards the measurements of the previous process and returns its attempts in flight.
func (s *server) restart() []*attempt {
	previous := *s
	*s = *newServer(previous.ringPosition)
	s.Endpoint = previous.Endpoint
	return previous.inFlight
}

// update applies an entry of the endpoint list, for a node in the given zone.
func (s *server) update(endpoint Endpoint, zone int) {
	s.Endpoint = endpoint
	s.sameZone = endpoint.Zone == zone
}

// startAttempt adds an attempt in flight, which becomes the trial of a half-open breaker.
func (s *server) startAttempt(a *attempt) {
	s.inFlight = append(s.inFlight, a)
	s.breaker.startAttempt(a)
}

// endAttempt removes an attempt from those in flight. It is not among them if the server has restarted
// since.
func (s *server) endAttempt(a *attempt) {
	if i := slices.Index(s.inFlight, a); i >= 0 {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
}

// recordSuccess records a response to an attempt.
func (s *server) recordSuccess(now time.Duration, a *attempt) {
	s.respondedAt = now
	s.breaker.recordSuccess(now, a)
}
