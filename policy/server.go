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
	sameZone     bool          // in the zone of this node
	ringPosition uint64        // equal on all nodes; groups cells, which may be the scope of a key
	inFlight     []*attempt    // attempts of this node, oldest first
	respondedAt  time.Duration // when it last responded

	breaker          circuitBreaker
	score            serverScore
	baselineLogRatio runningmean.Mean // mean log ratio of unloaded latencies to their class's baseline
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

// restart discards the measurements of the previous process and returns the attempts in flight there.
func (s *server) restart() []*attempt {
	previous := *s
	*s = *newServer(previous.ringPosition)
	s.Endpoint = previous.Endpoint
	return previous.inFlight
}

// update applies an entry of the endpoint list. The zone is that of this node.
func (s *server) update(endpoint Endpoint, zone int) {
	s.Endpoint = endpoint
	s.sameZone = endpoint.Zone == zone
}

// startAttempt adds an attempt in flight, which becomes the trial if the breaker is half-open.
func (s *server) startAttempt(a *attempt) {
	s.inFlight = append(s.inFlight, a)
	s.breaker.startAttempt(a)
}

// endAttempt removes an attempt from those in flight. An attempt from before a restart of the server is not
// among them.
func (s *server) endAttempt(a *attempt) {
	if i := slices.Index(s.inFlight, a); i >= 0 {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
}

// recordSuccess records that the server responded to an attempt.
func (s *server) recordSuccess(now time.Duration, a *attempt) {
	s.respondedAt = now
	s.breaker.recordSuccess(now, a)
}
