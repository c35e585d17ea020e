package policy

// A server and the measurements of its current process.

import (
	"slices"
	"time"

	"calicohinge/internal/runningmean"
)

// server is an endpoint with this node's measurements of its current process. Each component modifies only
// its own field.
type server struct {
	Endpoint
	sameZone     bool          // the server is in the zone of this node
	ringPosition uint64        // the same on all nodes; adjacent for servers of a cell, a possible KeyScope
	inFlight     []*attempt    // attempts of this node in flight, oldest first
	respondedAt  time.Duration // time of the last recorded success

	breaker          circuitBreaker
	score            serverScore
	baselineLogRatio runningmean.Mean // mean logarithm of unloaded latency over the baseline of its class
	budget           slowStartBudget
}

func newServer(ringPosition uint64) *server {
	return &server{
		ringPosition:     ringPosition,
		breaker:          newCircuitBreaker(),
		score:            newServerScore(),
		baselineLogRatio: runningmean.New(maxServerSamples),
	}
}

// restart discards the measurements of the previous process and returns its attempts in flight.
func (s *server) restart() []*attempt {
	previous := *s
	*s = *newServer(previous.ringPosition)
	s.Endpoint = previous.Endpoint
	return previous.inFlight
}

// update applies an entry of the endpoint list. The given zone is the zone of this node.
func (s *server) update(endpoint Endpoint, zone int) {
	s.Endpoint = endpoint
	s.sameZone = endpoint.Zone == zone
}

// startAttempt adds an attempt in flight. It becomes the trial if the breaker is half-open.
func (s *server) startAttempt(a *attempt) {
	s.inFlight = append(s.inFlight, a)
	s.breaker.startAttempt(a)
}

// endAttempt removes an attempt from the attempts in flight. It has no effect on an attempt that started
// before the server restarted.
func (s *server) endAttempt(a *attempt) {
	if i := slices.Index(s.inFlight, a); i >= 0 {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
}

// recordSuccess records a successful response to an attempt, or the start of a streamed response.
func (s *server) recordSuccess(now time.Duration, a *attempt) {
	s.respondedAt = now
	s.breaker.recordSuccess(now, a)
}
