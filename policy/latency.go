package policy

import (
	"math"
	"time"
)

type requestClass struct {
	Class
	baselineLatency float64 // mean latency of a lone request of mean size, seconds
	baselineSamples float64
	workPerRequest  float64 // mean latency of all its served requests; 1 where value counts by work
	workSamples     float64
	meanCostHint    float64 // mean hint, seconds
	costHintSamples float64
}

// loneLatency is what the request should take on a server of its own, in seconds.
func (b *Balancer) baselineLatency(r *request) float64 {
	return r.class.baselineLatency*r.relativeWork() + 0.001
}

// expected is what the request should take at present.
func (b *Balancer) expectedLatency(r *request) time.Duration {
	return time.Duration(b.baselineLatency(r) * b.meanLatency * float64(time.Second))
}

// size is the request's work as a multiple of its class's mean, where hinted.
func (r *request) relativeWork() float64 {
	if r.CostHint <= 0 || r.class.meanCostHint <= 0 {
		return 1
	}
	return min(max(r.CostHint.Seconds()/r.class.meanCostHint, 0.25), 4)
}

// measure takes in how long a served request took, compared to lone ones of its
// class at its server.
func (b *Balancer) recordLatency(a *attempt, r *request, latency float64) {
	c := r.class
	b.typical += (latency - b.typical) / 64
	c.workSamples = min(c.workSamples+1, 400)
	if !b.settings.WeightByWork {
		// By all responses: unloaded attempts are rare in a busy fleet.
		c.workPerRequest += (latency - c.workPerRequest) / c.workSamples
	}
	if a.unloaded && (c.baselineSamples < 12 || b.crowding < targetCongestion/2) {
		c.baselineSamples = min(c.baselineSamples+1, 400)
		sample := min(latency/r.relativeWork(), c.Objective.Seconds()/3)
		c.baselineLatency += (sample - c.baselineLatency) / c.baselineSamples
	}
	relative := math.Log(max(latency, 1e-4) / (c.baselineLatency * r.relativeWork()))
	if a.unloaded && b.crowding < targetCongestion {
		a.server.baselineSamples = min(a.server.baselineSamples+1, 16)
		weight := a.server.baselineSamples + b.nodesPerServer
		a.server.baselineOffset += (relative - a.server.baselineOffset) / weight
	}
	b.crowding += (relative - a.server.baselineOffset - b.crowding) / 32
}
