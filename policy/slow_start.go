package policy

// Slow start: a server that has just started has less capacity and fails when overloaded.

import (
	"math/rand/v2"
	"time"

	"calicohinge/internal/decayrate"
)

const (
	slowStartSafetyFactor = 0.8  // part of a warming server's estimated capacity that is used
	burstWindows          = 0.25 // budget that may be saved up, in overload windows
	minWarmFraction       = 0.75 // part of the subset that must be warm for the estimate of their rate

	warmServerWorkRateTimeConstant = 10 * time.Second // over which the rate of a warm server is smoothed
)

// slowStart limits the work that this node sends to servers that are warming up.
type slowStart struct {
	nodes              int
	rules              Rules
	random             *rand.Rand
	sentWork           decayrate.Meter // work of this node's attempts: their baseline latencies
	warmServerWorkRate float64         // work per second that a warm server gets from all nodes; 0: unknown
}

// slowStartBudget is the work that this node may still send to a server that is warming up.
type slowStartBudget struct {
	work      float64 // seconds; negative after a send that was larger than the budget
	updatedAt time.Duration
}

func newSlowStart(settings *Settings, random *rand.Rand) slowStart {
	return slowStart{
		nodes:    settings.Nodes,
		rules:    settings.Rules,
		random:   random,
		sentWork: decayrate.New(rateTimeConstant),
	}
}

// capacityShare returns the share of its capacity that a server has at least, 1 once it is warm.
func (s *server) capacityShare(rules *Rules, now time.Duration) float64 {
	age := now - s.StartedAt
	if s.StartedAt <= 0 || age >= rules.SlowStartDuration {
		return 1
	}
	gained := (1 - rules.SlowStartShare) * max(0, age).Seconds()
	return rules.SlowStartShare + gained/rules.SlowStartDuration.Seconds()
}

// admits reports whether a server is warm or has a budget for more work.
func (s *slowStart) admits(now time.Duration, server *server) bool {
	return server.capacityShare(&s.rules, now) >= 1 || server.budget.work > 0
}

// recordSend takes the work of an attempt, in seconds, from the server's budget. A warm server's budget has
// no effect.
func (s *slowStart) recordSend(now time.Duration, server *server, work float64) {
	s.sentWork.Add(now, work)
	server.budget.work -= work
}

// updateWarmServerWorkRate adds the present rate to the smoothed one, for the time since the last call. It
// leaves the rate as it was while less than minWarmFraction of the subset is warm.
func (s *slowStart) updateWarmServerWorkRate(now, elapsed time.Duration, subset *subset, readyServers int) {
	warm := 0
	for _, server := range subset.servers {
		if server.breaker.state == breakerClosed && server.capacityShare(&s.rules, now) >= 1 {
			warm++
		}
	}
	if float64(warm) < minWarmFraction*float64(len(subset.servers)) || readyServers == 0 {
		return
	}
	rate := s.sentWork.PerSecond(now) * float64(s.nodes) / float64(readyServers)
	weight := min(1, elapsed.Seconds()/warmServerWorkRateTimeConstant.Seconds())
	s.warmServerWorkRate += (rate - s.warmServerWorkRate) * weight
}

// refillBudget adds to the budget of a warming server, before a request of the given work in seconds. A node
// does not see the other nodes' sends. The budget therefore grows at this node's part of the rate that would
// overload the server. It starts with a random debt of up to one request, since a send from each node at
// once could overload the server.
func (s *slowStart) refillBudget(
	now time.Duration, server *server, work float64, subset *subset, arrivals *arrivalStats,
) {
	share := server.capacityShare(&s.rules, now)
	if share >= 1 {
		return
	}
	budget := &server.budget
	if isNew := budget.updatedAt == 0; isNew {
		*budget = slowStartBudget{work: -work * s.random.Float64(), updatedAt: now}
	}
	rate := s.warmServerWorkRate / subset.nodesPerServer * s.rules.OverloadMultiple
	if s.warmServerWorkRate == 0 { // unknown: a new node among warming servers knows only its own arrivals
		rate = arrivals.rate.PerSecond(now) * work / float64(len(subset.servers))
	}
	rate *= share * slowStartSafetyFactor
	burst := rate * s.rules.OverloadWindow.Seconds() * burstWindows
	budget.work = min(budget.work+rate*(now-budget.updatedAt).Seconds(), burst)
	budget.updatedAt = now
}
