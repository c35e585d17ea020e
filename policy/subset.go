package policy

// The subset of the servers that this node uses: it could not measure all of them with its requests alone.

import "time"

const (
	minSubsetSize         = 4               // warm servers whose breaker is not open
	subsetRequestInterval = time.Second / 4 // in which each server of the subset gets one request
)

// subset is a contiguous part of the ring of ready servers.
type subset struct {
	servers        []*server
	nodesPerServer float64        // mean number of nodes that use a server, at least 1
	regime         samplingRegime // by nodesPerServer
	wanted         int            // number of warm servers, not counting open breakers, when it was renewed
	renewedAt      time.Duration
	stale          bool // the ready servers or their breakers have changed since

	closed, awaitingTrial int // servers by the state of their breaker, as of the last refresh
}

// renewSubset adapts the subset to servers and traffic. The subsets of all nodes cover the ring evenly.
func (b *Balancer) renewSubset(now time.Duration) {
	wanted := max(minSubsetSize, int(b.arrivals.rate.PerSecond(now)*subsetRequestInterval.Seconds()+0.5))
	if !b.subset.stale && wanted <= b.subset.wanted && now-b.subset.renewedAt < subsetRequestInterval {
		return
	}
	b.subset.stale, b.subset.wanted, b.subset.renewedAt = false, wanted, now
	node, nodes, ready := b.settings.Node%b.settings.Nodes, float64(b.settings.Nodes), len(b.endpoints.ready)
	start := int((float64(node) + 0.5) / nodes * float64(ready))
	b.subset.fill(now, b.endpoints.ready, start, &b.settings.Rules)
	b.subset.setNodesPerServer(max(1, nodes*float64(len(b.subset.servers))/float64(max(1, ready))))
}

// fill takes servers along the ring until the wanted number is reached; a warming one counts in part.
func (u *subset) fill(now time.Duration, ring []*server, start int, rules *Rules) {
	u.servers = u.servers[:0]
	missing := float64(u.wanted)
	for i := 0; i < len(ring) && missing > 0; i++ {
		s := ring[(start+i)%len(ring)]
		u.servers = append(u.servers, s)
		if s.breaker.state != breakerOpen {
			missing -= s.capacityShare(rules, now)
		}
	}
}

func (u *subset) setNodesPerServer(nodesPerServer float64) {
	u.nodesPerServer = nodesPerServer
	u.regime = regimeFor(nodesPerServer)
}

// mayEjectAnother reports whether at most half of the subset has no closed breaker once another one opens.
func (u *subset) mayEjectAnother() bool {
	ejected := 0
	for _, s := range u.servers {
		if s.breaker.state != breakerClosed {
			ejected++
		}
	}
	return 2*(ejected+1) <= len(u.servers)
}
