package policy

import (
	"time"
)

// rampSafety is the part of a warming server's bearable load that is sent to it.
const slowStartSafety = 0.8

// meterSpan is the time constant of the rates of arrivals and of work sent.
const rateTimeConstant = 2 * time.Second

// rampShare is the share of its capacity that a server has at least.
func (b *Balancer) capacityShare(s *server, now time.Duration) float64 {
	age := now - s.StartedAt
	if s.StartedAt <= 0 || age >= b.settings.Rules.SlowStartDuration {
		return 1
	}
	rules := &b.settings.Rules
	gained := (1 - rules.SlowStartShare) * max(0, age).Seconds()
	return rules.SlowStartShare + gained/rules.SlowStartDuration.Seconds()
}

// rampAllows tells whether a cold server can bear this work too. This node cannot see
// the others, so it keeps to its own part of what makes the server fall over: a bucket
// fills by what a server got while most were warm. It starts with a debt drawn by chance
// up to a request: one send from each node at once could push the server over.
func (b *Balancer) slowStartAdmits(s *server, now time.Duration, work float64) bool {
	share := b.capacityShare(s, now)
	if share >= 1 {
		return true
	}
	if s.budgetUpdatedAt == 0 {
		s.budgetUpdatedAt, s.slowStartBudget = now, -work*b.random.Float64()
	}
	rate := b.warmPart / b.nodesPerServer * b.settings.Rules.OverloadMultiple
	if b.warmPart == 0 { // a new node among cold servers knows only what it is asked itself
		rate = b.arrivals.PerSecond(now) * work / float64(len(b.subset))
	}
	rate *= share * slowStartSafety
	burst := rate * b.settings.Rules.OverloadWindow.Seconds() / 4
	s.slowStartBudget = min(s.slowStartBudget+rate*(now-s.budgetUpdatedAt).Seconds(), burst)
	s.budgetUpdatedAt = now
	return s.slowStartBudget > 0
}
