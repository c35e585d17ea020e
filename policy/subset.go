package policy

// The subset of the servers that this node uses: it could not measure all of them with its requests alone.

import "time"

const (
	minSubsetSize         = 4               // warm servers whose breaker is not open
	subsetRequestInterval = time.Second / 4 // in which each server of the subset gets one request
)

// subset is a contiguous part of the ring of ready servers. The subsets of all nodes cover the ring evenly.
type subset struct {
	node, nodes    int
	rules          Rules
	servers        []*server
	nodesPerServer float64        // mean number of nodes that use a server, at least 1
	regime         samplingRegime // by nodesPerServer
	wanted         int            // number of warm servers, not counting open breakers, when it was renewed
	renewedAt      time.Duration
	stale          bool // the ready servers or their breakers have changed since

	closed, awaitingTrial int // servers by the state of their breaker, as of the last refresh
}

func newSubset(settings *Settings) subset {
	created := subset{node: settings.Node % settings.Nodes, nodes: settings.Nodes, rules: settings.Rules}
	created.setNodesPerServer(float64(settings.Nodes))
	return created
}

func (s *subset) setNodesPerServer(nodesPerServer float64) {
	s.nodesPerServer = nodesPerServer
	s.regime = regimeFor(nodesPerServer)
}

// invalidate has the next renewal take place, because the ready servers or their breakers have changed.
func (s *subset) invalidate() { s.stale = true }

// renewIfDue adapts the subset to the ready servers, the ring, and to the rate of arrivals.
func (s *subset) renewIfDue(now time.Duration, ring []*server, arrivalsPerSecond float64) {
	rounded := int(arrivalsPerSecond*subsetRequestInterval.Seconds() + 0.5)
	wanted := max(minSubsetSize, rounded)
	if !s.stale && wanted <= s.wanted && now-s.renewedAt < subsetRequestInterval {
		return
	}
	s.stale, s.wanted, s.renewedAt = false, wanted, now
	nodes, ready := float64(s.nodes), len(ring)
	middle := float64(s.node) + 0.5 // of the node's part of the ring
	s.fill(now, ring, int(middle/nodes*float64(ready)))
	s.setNodesPerServer(max(1, nodes*float64(len(s.servers))/float64(max(1, ready))))
}

// fill takes servers along the ring until the wanted number is reached; a warming one counts in part.
func (s *subset) fill(now time.Duration, ring []*server, start int) {
	s.servers = s.servers[:0]
	missing := float64(s.wanted)
	for i := 0; i < len(ring) && missing > 0; i++ {
		server := ring[(start+i)%len(ring)]
		s.servers = append(s.servers, server)
		if server.breaker.state != breakerOpen {
			missing -= server.capacityShare(&s.rules, now)
		}
	}
}

// advanceBreakers turns the breakers half-open that are due, and counts the servers by their state.
func (s *subset) advanceBreakers(now time.Duration) {
	s.closed, s.awaitingTrial = 0, 0
	for _, server := range s.servers {
		server.breaker.advance(now)
		switch {
		case server.breaker.state == breakerClosed:
			s.closed++
		case server.breaker.awaitsTrial():
			s.awaitingTrial++
		}
	}
}

// allEjected reports whether no server may get a request, as of the last refresh.
func (s *subset) allEjected() bool { return s.closed+s.awaitingTrial == 0 }

// mayEjectAnother reports whether at most half of the subset has no closed breaker once another one opens.
func (s *subset) mayEjectAnother() bool {
	ejected := 0
	for _, server := range s.servers {
		if server.breaker.state != breakerClosed {
			ejected++
		}
	}
	return 2*(ejected+1) <= len(s.servers)
}
