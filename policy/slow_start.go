package policy

// Slow start: a server that has just started has less capacity and fails when overloaded.

import (
	"time"

	"calicohinge/internal/decayrate"
)

const (
	slowStartSafety = 0.8  // part of the work that a warming server is estimated to bear which is sent
	burstWindows    = 0.25 // overload windows whose budget may be saved up

	warmServerRateTimeConstant = 10 * time.Second // of the smoothed rate of a warm server
)

// slowStartStats tell what a warm server gets, which limits what a warming one bears.
type slowStartStats struct {
	sentWork       decayrate.Meter // baseline latencies of this node's attempts
	warmServerRate float64         // work per second from all nodes, when most servers were warm; 0: unknown
}

// slowStartBudget is the work that this node may still send to a server that is warming up.
type slowStartBudget struct {
	work      float64 // seconds; negative after a send that was larger than the budget
	updatedAt time.Duration
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

// updateWarmServerRate leaves the rate as it was unless three quarters of the subset are warm.
func (b *Balancer) updateWarmServerRate(now, elapsed time.Duration) {
	warm := 0
	for _, s := range b.subset.servers {
		if s.breaker.state == breakerClosed && s.capacityShare(&b.settings.Rules, now) >= 1 {
			warm++
		}
	}
	ready := len(b.endpoints.ready)
	if 4*warm < 3*len(b.subset.servers) || ready == 0 {
		return
	}
	rate := b.slowStart.sentWork.PerSecond(now) * float64(b.settings.Nodes) / float64(ready)
	weight := min(1, elapsed.Seconds()/warmServerRateTimeConstant.Seconds())
	b.slowStart.warmServerRate += (rate - b.slowStart.warmServerRate) * weight
}

// slowStartAdmits reports whether a server may get more work. A node does not see the other nodes' sends: its
// budget grows at its own part of the rate that would overload the server. It starts with a random debt
// of up to one request, since a send from each node at once could overload the server.
func (b *Balancer) slowStartAdmits(server *server, now time.Duration, work float64) bool {
	rules := &b.settings.Rules
	share := server.capacityShare(rules, now)
	if share >= 1 {
		return true
	}
	if server.budget.updatedAt == 0 {
		server.budget = slowStartBudget{work: -work * b.random.Float64(), updatedAt: now}
	}
	rate := b.slowStart.warmServerRate / b.subset.nodesPerServer * rules.OverloadMultiple
	if b.slowStart.warmServerRate == 0 { // a new node among warming servers knows its own arrivals only
		rate = b.arrivals.rate.PerSecond(now) * work / float64(len(b.subset.servers))
	}
	rate *= share * slowStartSafety
	burst := rate * rules.OverloadWindow.Seconds() * burstWindows
	server.budget.work = min(server.budget.work+rate*(now-server.budget.updatedAt).Seconds(), burst)
	server.budget.updatedAt = now
	return server.budget.work > 0
}
