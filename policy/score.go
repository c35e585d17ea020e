package policy

// The score of each server, computed from its latest outcomes.

import (
	"time"

	"calicohinge/internal/outcomewindow"
)

const (
	outcomesPerServer      = 100  // number of latest outcomes that determine the score
	priorOutcomes          = 3.0  // number of outcomes that the means of the subset count as
	successWeight          = 0.7  // weight of the success rate in the score
	latencyWeight          = 0.3  // weight of the latency in the score
	minHighestLatency      = 1e-9 // lower bound of the highest relative latency; keeps scores finite
	scoreTieMargin         = 0.1  // difference of two scores up to which the attempts in flight decide
	initialSuccessRate     = 1.0  // mean success rate before the first outcome
	initialRelativeLatency = 1.0  // mean latency before the first response, as a multiple of the baseline
)

// serverScore is the score of a server and the outcomes that determine it.
type serverScore struct {
	outcomes        outcomewindow.Window // latencies as multiples of the baseline latency
	successRate     float64
	relativeLatency float64 // multiple of the baseline latency
	value           float64 // the score, as of the last refresh
}

func newServerScore() serverScore {
	return serverScore{outcomes: outcomewindow.New(outcomesPerServer)}
}

// recordSuccess adds a response and its latency as a multiple of the baseline latency.
func (s *serverScore) recordSuccess(now time.Duration, relativeLatency float64) {
	s.outcomes.AddSuccess(now, relativeLatency)
}

func (s *serverScore) recordFailure(now time.Duration) { s.outcomes.AddFailure(now) }

// estimate computes the success rate and the relative latency. The means of the subset count as
// priorOutcomes additional outcomes, so the estimates for a server without outcomes are the means.
func (s *serverScore) estimate(means outcomeMeans) {
	outcomes, successes := float64(s.outcomes.Len()), float64(s.outcomes.Successes())
	s.successRate = (successes + priorOutcomes*means.successRate) / (outcomes + priorOutcomes)
	latencySum := s.outcomes.LatencySum() + priorOutcomes*means.relativeLatency
	s.relativeLatency = latencySum / (successes + priorOutcomes)
}

// updateValue computes the score as a weighted sum of the success rate and a latency score. The latency
// score decreases linearly from 1 at latency 0 to 0 at the highest latency.
func (s *serverScore) updateValue(highestLatency float64) {
	highest := max(highestLatency, s.relativeLatency, minHighestLatency)
	s.value = successWeight*s.successRate + latencyWeight*(1-s.relativeLatency/highest)
}

// failureRateBefore returns the failure rate without the latest outcomes, which are the given number of
// consecutive failures.
func (s *serverScore) failureRateBefore(consecutiveFailures int, means outcomeMeans) float64 {
	earlierOutcomes := float64(max(0, s.outcomes.Len()-consecutiveFailures))
	earlierFailures := float64(max(0, s.outcomes.Failures()-consecutiveFailures))
	return (earlierFailures + priorOutcomes*(1-means.successRate)) / (earlierOutcomes + priorOutcomes)
}

// outcomeMeans holds the means over all servers of the subset. Without outcomes, the means keep their
// previous values.
type outcomeMeans struct{ successRate, relativeLatency float64 }

func newOutcomeMeans() outcomeMeans {
	return outcomeMeans{successRate: initialSuccessRate, relativeLatency: initialRelativeLatency}
}

// update removes the expired outcomes of the servers and computes the means of the remaining outcomes.
func (m *outcomeMeans) update(now time.Duration, servers []*server, maxAge time.Duration) {
	outcomes, successes, latencySum := 0, 0, 0.0
	for _, s := range servers {
		s.score.outcomes.Expire(now, maxAge)
		outcomes += s.score.outcomes.Len()
		successes += s.score.outcomes.Successes()
		latencySum += s.score.outcomes.LatencySum()
	}
	if outcomes > 0 {
		m.successRate = float64(successes) / float64(outcomes)
	}
	if successes > 0 {
		m.relativeLatency = latencySum / float64(successes)
	}
}

// updateScores computes the scores of the servers. Each latency is compared with the highest latency
// among the servers with closed breakers.
func (m *outcomeMeans) updateScores(servers []*server) {
	highest := 0.0
	for _, s := range servers {
		s.score.estimate(*m)
		if s.breaker.state == breakerClosed {
			highest = max(highest, s.score.relativeLatency)
		}
	}
	for _, s := range servers {
		s.score.updateValue(highest)
	}
}
