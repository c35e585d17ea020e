package policy

// Slow start: a server that has just started has reduced capacity and fails when overloaded.

import (
	"math/rand/v2"
	"time"

	"calicohinge/internal/decayrate"
)

const (
	slowStartSafetyFactor = 0.8  // used fraction of the estimated capacity of a server that is warming up
	maxBurstWindows       = 0.25 // largest unused budget, as a multiple of the budget of one OverloadWindow
	minWarmFraction       = 0.75 // fraction of the subset that must be warm to update warmServerWorkRate

	warmServerWorkRateTimeConstant = 10 * time.Second // time constant that smooths warmServerWorkRate
)

// slowStart limits the work that this node sends to servers that are warming up.
type slowStart struct {
	nodes              int
	rules              Rules
	random             *rand.Rand
	sentWork           decayrate.Meter // work sent by this node per second, as baseline latencies in seconds
	warmServerWorkRate float64         // work per second that all nodes send to a warm server; 0: unknown
}

// slowStartBudget is the work that this node may send to a server that is warming up.
type slowStartBudget struct {
	work      float64       // remaining work in seconds; negative after an attempt that exceeded the budget
	updatedAt time.Duration // time of the last refill; 0 for a new budget
}

func newSlowStart(settings *Settings, random *rand.Rand) slowStart {
	return slowStart{
		nodes:    settings.Nodes,
		rules:    settings.Rules,
		random:   random,
		sentWork: decayrate.New(rateTimeConstant),
	}
}

// capacityShare returns the fraction of its full capacity that a server has at least. The fraction rises
// linearly from SlowStartShare when the server starts to 1 when it is warm.
func (s *server) capacityShare(rules *Rules, now time.Duration) float64 {
	age := now - s.StartedAt
	if s.StartedAt <= 0 || age >= rules.SlowStartDuration {
		return 1
	}
	gained := (1 - rules.SlowStartShare) * max(0, age).Seconds()
	return rules.SlowStartShare + gained/rules.SlowStartDuration.Seconds()
}

// permitsAttempt reports whether a server is warm or has budget left.
func (s *slowStart) permitsAttempt(now time.Duration, server *server) bool {
	return server.capacityShare(&s.rules, now) >= 1 || server.budget.work > 0
}

// recordSend records the work of an attempt, in seconds, and subtracts it from the server's budget. The
// budget of a warm server has no effect.
func (s *slowStart) recordSend(now time.Duration, server *server, work float64) {
	s.sentWork.Add(now, work)
	server.budget.work -= work
}

// updateWarmServerWorkRate adds the current rate to the smoothed rate, weighted by the time since the last
// call. The smoothed rate does not change while less than minWarmFraction of the subset is warm.
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

// refillBudget adds to the budget of a server that is warming up, before a request of the given work in
// seconds. The attempts of other nodes are unknown, so the budget grows at this node's share of the rate
// that would overload the server, times slowStartSafetyFactor. The initial budget is a random debt of up to
// one request, because simultaneous attempts of all nodes could overload the server.
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
	if s.warmServerWorkRate == 0 { // a new node whose servers are warming up has measured only its arrivals
		rate = arrivals.rate.PerSecond(now) * work / float64(len(subset.servers))
	}
	rate *= share * slowStartSafetyFactor
	burst := rate * s.rules.OverloadWindow.Seconds() * maxBurstWindows
	budget.work = min(budget.work+rate*(now-budget.updatedAt).Seconds(), burst)
	budget.updatedAt = now
}
