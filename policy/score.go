package policy

// The score of each server, from its latest outcomes.

import (
	"time"

	"calicohinge/internal/outcomewindow"
)

const (
	outcomesPerServer      = 100  // latest outcomes that a server is judged by
	priorOutcomes          = 3.0  // weight of the means beside a server's own outcomes, in outcomes
	successWeight          = 0.7  // of the success rate in the score
	latencyWeight          = 0.3  // of the latency in the score
	minHighestLatency      = 1e-9 // multiple of the baseline, so that the score stays finite
	scoreTieMargin         = 0.1  // difference up to which the attempts in flight decide
	initialSuccessRate     = 1.0  // without any outcome
	initialRelativeLatency = 1.0  // multiple of the baseline, without any outcome
)

// serverScore judges a server by its latest outcomes.
type serverScore struct {
	outcomes        outcomewindow.Window // latencies as multiples of the baseline latency
	successRate     float64
	relativeLatency float64 // multiple of the baseline latency
	value           float64 // of successRate and relativeLatency, as of the last refresh
}

func newServerScore() serverScore {
	return serverScore{outcomes: outcomewindow.New(outcomesPerServer)}
}

// recordSuccess adds a response with its latency as a multiple of the baseline latency.
func (s *serverScore) recordSuccess(now time.Duration, relativeLatency float64) {
	s.outcomes.AddSuccess(now, relativeLatency)
}

func (s *serverScore) recordFailure(now time.Duration) { s.outcomes.AddFailure(now) }

// estimate computes the success rate and the relative latency. The means count as priorOutcomes outcomes
// beside the server's own, so that a server without outcomes has the means.
func (s *serverScore) estimate(means outcomeMeans) {
	outcomes, successes := float64(s.outcomes.Len()), float64(s.outcomes.Successes())
	s.successRate = (successes + priorOutcomes*means.successRate) / (outcomes + priorOutcomes)
	latencySum := s.outcomes.LatencySum() + priorOutcomes*means.relativeLatency
	s.relativeLatency = latencySum / (successes + priorOutcomes)
}

// updateValue computes the score, which is the weighted sum of two values from 0 to 1: the success rate, and
// 1 - latency / highest latency.
func (s *serverScore) updateValue(highestLatency float64) {
	highest := max(highestLatency, s.relativeLatency, minHighestLatency)
	s.value = successWeight*s.successRate + latencyWeight*(1-s.relativeLatency/highest)
}

// failureRateBefore returns the failure rate before a number of consecutive failures, which are the latest
// outcomes.
func (s *serverScore) failureRateBefore(consecutiveFailures int, means outcomeMeans) float64 {
	earlierOutcomes := float64(max(0, s.outcomes.Len()-consecutiveFailures))
	earlierFailures := float64(max(0, s.outcomes.Failures()-consecutiveFailures))
	return (earlierFailures + priorOutcomes*(1-means.successRate)) / (earlierOutcomes + priorOutcomes)
}

// outcomeMeans are the means over all servers of the subset. They stay as they are while there are no
// outcomes.
type outcomeMeans struct{ successRate, relativeLatency float64 }

func newOutcomeMeans() outcomeMeans {
	return outcomeMeans{successRate: initialSuccessRate, relativeLatency: initialRelativeLatency}
}

// update drops the expired outcomes of the servers and takes the means over the others.
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

// updateScores computes the scores of the servers. Latencies are compared with the highest one among the
// servers with closed breakers.
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
