package policy

import (
	"time"
)

// rampSafety is the part of a warming server's bearable load that is sent to it.
const rampSafety = 0.8

// meterSpan is the time constant of the rates of arrivals and of work sent.
const meterSpan = 2 * time.Second

// rampShare is the share of its capacity that a server has at least.
func (b *Balancer) rampShare(s *server, now time.Duration) float64 {
	age := now - s.StartedAt
	if s.StartedAt <= 0 || age >= b.set.Rules.SlowStartDuration {
		return 1
	}
	rules := &b.set.Rules
	gained := (1 - rules.SlowStartShare) * max(0, age).Seconds()
	return rules.SlowStartShare + gained/rules.SlowStartDuration.Seconds()
}

// rampAllows tells whether a cold server can bear this work too. This node cannot see
// the others, so it keeps to its own part of what makes the server fall over: a bucket
// fills by what a server got while most were warm. It starts with a debt drawn by chance
// up to a request: one send from each node at once could push the server over.
func (b *Balancer) rampAllows(s *server, now time.Duration, work float64) bool {
	share := b.rampShare(s, now)
	if share >= 1 {
		return true
	}
	if s.rampAt == 0 {
		s.rampAt, s.rampLeft = now, -work*b.rng.Float64()
	}
	rate := b.warmPart / b.nodesPerServer * b.set.Rules.OverloadMultiple
	if b.warmPart == 0 { // a new node among cold servers knows only what it is asked itself
		rate = b.arrivals.PerSecond(now) * work / float64(len(b.subset))
	}
	rate *= share * rampSafety
	s.rampLeft = min(s.rampLeft+rate*(now-s.rampAt).Seconds(), rate*b.set.Rules.OverloadWindow.Seconds()/4)
	s.rampAt = now
	return s.rampLeft > 0
}
