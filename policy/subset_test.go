package policy

import "testing"

// Guards against nodes that use the whole fleet and so measure none of it, and against a subset of warming
// servers alone.
func TestSubsetGrowsWithTrafficAndReplacesOpenAndWarmingServers(t *testing.T) {
	settings := testSettings()
	settings.Nodes, settings.Node = 100, 37
	h := newHarness(t, settings, 40)
	h.balancer.refresh(h.now)
	if n := len(h.balancer.subset.servers); n != minSubsetSize {
		t.Fatalf("a node without traffic uses %d servers, want %d", n, minSubsetSize)
	}
	h.balancer.subset.servers[0].breaker.state = breakerOpen
	h.balancer.subset.servers[1].StartedAt = h.now // warming up
	h.balancer.subset.invalidate()
	h.now += ms
	h.balancer.refresh(h.now)
	if n := len(h.balancer.subset.servers); n != minSubsetSize+2 {
		t.Fatalf("%d servers with one open breaker and one warming up, want %d", n, minSubsetSize+2)
	}
	h.balancer.arrivals.rate.Add(h.now, 240)
	h.now += ms
	h.balancer.refresh(h.now)
	if n := len(h.balancer.subset.servers); n < 25 {
		t.Fatalf("a node with 120 requests a second uses %d servers", n)
	}
}

// Guards against subsets that overlap at some servers and leave others idle.
func TestSubsetsCoverTheServersEvenly(t *testing.T) {
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
			t.Errorf("server %d is in %d subsets, want 12 or so", id, n)
		}
	}
}
