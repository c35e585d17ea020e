package policy

// The subset of the servers that this node uses. The requests of one node are too few to measure all
// servers.

import "time"

const (
	minSubsetSize         = 4               // minimum number of warm servers without an open breaker
	subsetRequestInterval = time.Second / 4 // time in which each server of the subset should get a request
)

// subset is a contiguous section of the ring of ready servers. The subsets of all nodes cover the ring
// evenly.
type subset struct {
	node, nodes    int // index of this node, and number of nodes
	rules          Rules
	servers        []*server
	nodesPerServer float64        // mean number of nodes that use each server, at least 1
	regime         samplingRegime // determined by nodesPerServer
	targetSize     int            // intended number of warm servers without an open breaker
	updatedAt      time.Duration  // time of the last update
	stale          bool           // the ready servers or their breakers have changed since updatedAt

	// closedBreakers and breakersAwaitingTrial are the numbers of servers with a closed breaker, and with a
	// half-open breaker and no trial in flight, as of the last refresh.
	closedBreakers, breakersAwaitingTrial int
}

func newSubset(settings *Settings) subset {
	created := subset{node: settings.Node % settings.Nodes, nodes: settings.Nodes, rules: settings.Rules}
	created.setNodesPerServer(float64(settings.Nodes))
	return created
}

// setNodesPerServer sets the mean number of nodes that use each server, and the regime for it.
func (s *subset) setNodesPerServer(nodesPerServer float64) {
	s.nodesPerServer = nodesPerServer
	s.regime = regimeFor(nodesPerServer)
}

// invalidate makes an update due, because the ready servers or their breakers have changed.
func (s *subset) invalidate() { s.stale = true }

// updateIfDue recomputes the subset from the rate of arrivals and the ready servers in ring order. An update
// is due periodically, and immediately if the subset is stale or has to grow.
func (s *subset) updateIfDue(now time.Duration, ring []*server, arrivalsPerSecond float64) {
	rounded := int(arrivalsPerSecond*subsetRequestInterval.Seconds() + 0.5)
	targetSize := max(minSubsetSize, rounded)
	due := s.stale || targetSize > s.targetSize || now-s.updatedAt >= subsetRequestInterval
	if !due {
		return
	}
	s.stale, s.targetSize, s.updatedAt = false, targetSize, now
	nodes, ready := float64(s.nodes), len(ring)
	middle := float64(s.node) + 0.5 // middle of this node's section of the ring, counted in sections from 0
	start := int(middle / nodes * float64(ready))
	s.fill(now, ring, start)
	s.setNodesPerServer(max(1, nodes*float64(len(s.servers))/float64(max(1, ready))))
}

// fill takes servers along the ring until targetSize is reached. A server that is warming up counts as its
// share of full capacity, and a server with an open breaker does not count.
func (s *subset) fill(now time.Duration, ring []*server, start int) {
	s.servers = s.servers[:0]
	remaining := float64(s.targetSize)
	for i := 0; i < len(ring) && remaining > 0; i++ {
		server := ring[(start+i)%len(ring)]
		s.servers = append(s.servers, server)
		if server.breaker.state != breakerOpen {
			remaining -= server.capacityShare(&s.rules, now)
		}
	}
}

// advanceBreakers makes each open breaker half-open when its open duration is over, and counts the servers
// by breaker state.
func (s *subset) advanceBreakers(now time.Duration) {
	s.closedBreakers, s.breakersAwaitingTrial = 0, 0
	for _, server := range s.servers {
		server.breaker.advance(now)
		switch {
		case server.breaker.state == breakerClosed:
			s.closedBreakers++
		case server.breaker.awaitsTrial():
			s.breakersAwaitingTrial++
		}
	}
}

// allEjected reports whether no server may get a request, as of the last refresh.
func (s *subset) allEjected() bool { return s.closedBreakers+s.breakersAwaitingTrial == 0 }

// permitsEjection reports whether at most half of the subset would be ejected if another breaker opened.
func (s *subset) permitsEjection() bool {
	ejected := 0
	for _, server := range s.servers {
		if server.breaker.state != breakerClosed {
			ejected++
		}
	}
	return 2*(ejected+1) <= len(s.servers)
}
