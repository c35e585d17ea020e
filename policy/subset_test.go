package policy

import "testing"

// Guards against nodes that use so many servers that each server gets too few of their requests to be measured. Also
// guards against subsets of which all servers are ejected or warming up.
func TestSubsetGrowsWithTrafficAndWithOpenAndWarmingServers(t *testing.T) {
	settings := testSettings()
	settings.Nodes, settings.Node = 100, 37
	h := newHarness(t, settings, 40)
	h.balancer.refresh(h.now)
	if n := len(h.balancer.subset.servers); n != minSubsetSize {
		t.Fatalf("servers in the subset of a node without traffic: got %d, want %d", n, minSubsetSize)
	}
	h.balancer.subset.servers[0].breaker.state = breakerOpen
	h.balancer.subset.servers[1].StartedAt = h.now // warming up
	h.balancer.subset.invalidate()
	h.now += ms
	h.balancer.refresh(h.now)
	if n := len(h.balancer.subset.servers); n != minSubsetSize+2 {
		t.Fatalf("servers in a subset with one open breaker and one server warming up: got %d, want %d",
			n, minSubsetSize+2)
	}
	h.balancer.arrivals.rate.Add(h.now, 240)
	h.now += ms
	h.balancer.refresh(h.now)
	if n := len(h.balancer.subset.servers); n < 25 {
		t.Fatalf("servers in the subset at 120 requests per second: got %d, want at least 25", n)
	}
}

// Guards against subsets that overlap at some servers and leave others without requests.
func TestSubsetsCoverServersEvenly(t *testing.T) {
	const nodes, servers = 90, 30
	subsetsPerServer := map[ServerID]int{}
	for node := range nodes {
		settings := testSettings()
		settings.Nodes, settings.Node = nodes, node
		h := newHarness(t, settings, servers)
		h.balancer.refresh(h.now)
		for _, s := range h.balancer.subset.servers {
			subsetsPerServer[s.Server]++
		}
	}
	for id := ServerID(1); id <= servers; id++ {
		if n := subsetsPerServer[id]; n < 11 || n > 13 {
			t.Errorf("nodes with server %d in their subset: got %d, want 11 to 13", id, n)
		}
	}
}
