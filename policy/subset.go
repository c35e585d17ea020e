package policy

import (
	"time"
)

const (
	// fewPerServer is the number of nodes that share a server, up to which each node's own requests
	// tell the server's load.
	undersampledFrom = 5.0
	// subsetLeast is the least number of servers in a subset whose breaker is not open.
	minSubsetSize = 4
	// subsetSpan is the time in which each server of the subset gets one request.
	subsetRequestInterval = time.Second / 4
)

// renewSubset keeps the node to its own subset of the ready servers, so many closed ones that
// each is met once in subsetSpan. A sparse node would meet the whole fleet too rarely to
// judge it, and open a connection each time. The parts cover the ring of servers evenly;
// more traffic takes a longer part, and a node whose servers fail goes on along the ring.
func (b *Balancer) renewSubset(now time.Duration) {
	want := max(minSubsetSize, int(b.arrivals.PerSecond(now)*subsetRequestInterval.Seconds()+0.5))
	if !b.subsetStale && want <= b.subsetSize && now-b.subsetAt < subsetRequestInterval {
		return
	}
	b.subsetStale, b.subsetSize, b.subsetAt = false, want, now
	b.subset = b.subset[:0]
	n := len(b.ready)
	start := int((float64(b.settings.Node%b.settings.Nodes) + 0.5) / float64(b.settings.Nodes) * float64(n))
	for i, left := 0, float64(want); i < n && left > 0; i++ {
		s := b.ready[(start+i)%n]
		b.subset = append(b.subset, s)
		if s.breaker != breakerOpen {
			left -= b.capacityShare(s, now) // cold ones alone could not carry the node's traffic
		}
	}
	b.nodesPerServer = max(1, float64(b.settings.Nodes)*float64(len(b.subset))/float64(max(1, n)))
}

// sparse tells whether so many nodes share a server that this one sees little of its load.
func (b *Balancer) undersampled() bool { return b.nodesPerServer > undersampledFrom }
