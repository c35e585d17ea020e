package policy

import (
	"testing"
	"time"
)

// Guards against two faults of slow start: many nodes together overload a server that is warming up, since no node can
// observe the sends of the others, or they leave the server almost idle. A server counts as overloaded if it gets more
// than n + 2 sqrt(n) + 2 requests of mean work within OverloadWindow, where n is OverloadMultiple times the number of
// such requests that its current capacity allows in that time.
func TestSlowStartOfManyNodesNeitherOverloadsNorStarvesServers(t *testing.T) {
	const s = time.Second
	defaultRules := Rules{
		SlowStartShare: 0.3, SlowStartDuration: 9 * s, OverloadMultiple: 4, OverloadWindow: s, MaxPollInterval: 10 * s,
	}
	tightRules := Rules{
		SlowStartShare: 0.2, SlowStartDuration: 6 * s, OverloadMultiple: 2, OverloadWindow: 500 * ms,
		MaxPollInterval: 10 * s,
	}
	shortSlowStart := defaultRules
	shortSlowStart.SlowStartDuration = 2500 * ms
	replacedServers := func(nodes int, rules Rules) scenario {
		return scenario{
			nodeCount: nodes, restartedFraction: 0.6, restartSpan: 7 * s, replaceServers: true, rules: rules,
		}
	}
	zoneOutage := func(nodes int, rules Rules) scenario {
		return scenario{nodeCount: nodes, offeredLoad: 0.75, restartedFraction: 0.5, downtime: 5 * s, rules: rules}
	}
	lateZoneOutage, replacedWhileNodesRestart := zoneOutage(30, defaultRules), replacedServers(30, defaultRules)
	lateZoneOutage.lateNotifications = true
	replacedWhileNodesRestart.nodesRestartAfter = 3 * s
	largeReplacement, largeZoneOutage := replacedServers(300, shortSlowStart), zoneOutage(300, shortSlowStart)
	largeReplacement.serverCount, largeReplacement.leadTime, largeReplacement.restartSpan = 200, 2*s, 2*s
	largeZoneOutage.serverCount, largeZoneOutage.leadTime, largeZoneOutage.downtime = 200, 2*s, 2*s
	for _, tc := range []struct {
		name         string
		scenario     scenario
		minUsedShare float64 // share of the work that servers can do while they are warming up
	}{
		{"one server restarts, 2 nodes", scenario{nodeCount: 2, restartedFraction: 0.05}, 0.05},
		{"one server restarts, 20 nodes", scenario{nodeCount: 20, restartedFraction: 0.05}, 0.05},
		{
			"one server restarts, tight rules",
			scenario{nodeCount: 20, restartedFraction: 0.05, rules: tightRules}, 0.05,
		},
		{
			"a fifth restarts, 1.5 times the arrivals from then on",
			scenario{nodeCount: 20, restartedFraction: 0.2, burstFactor: 1.5}, 0.25,
		},
		{"60% are replaced, 8 nodes", replacedServers(8, defaultRules), 0.25},
		{"60% are replaced, 30 nodes", replacedServers(30, defaultRules), 0.25},
		{"60% are replaced, tight rules", replacedServers(30, tightRules), 0.15},
		{"a zone returns, 2 nodes", zoneOutage(2, defaultRules), 0.4},
		{"a zone returns, 30 nodes", zoneOutage(30, defaultRules), 0.35},
		{"a zone returns, tight rules", zoneOutage(20, tightRules), 0.25},
		{
			"a fifth restarts, others fail or hang",
			scenario{nodeCount: 20, restartedFraction: 0.2, othersFail: true}, 0.25,
		},
		{
			"a fifth restarts, a third of the nodes is notified late",
			scenario{nodeCount: 20, restartedFraction: 0.2, lateNotifications: true}, 0.2,
		},
		{"a zone returns, a third of the nodes is notified late", lateZoneOutage, 0.35},
		{
			"a fifth restarts, then all nodes",
			scenario{nodeCount: 20, restartedFraction: 0.2, nodesRestartAfter: s}, 0.1,
		},
		{"60% are replaced, all nodes restart meanwhile", replacedWhileNodesRestart, 0.12},
		{
			"all servers restart, then both nodes",
			scenario{nodeCount: 2, restartedFraction: 1, nodesRestartAfter: s}, 0.28,
		},
		{
			"all servers restart, then all 30 nodes",
			scenario{nodeCount: 30, restartedFraction: 1, nodesRestartAfter: s}, 0.28,
		},
		{"60% are replaced, 300 nodes", largeReplacement, 0.1},
		{"a zone returns, 300 nodes", largeZoneOutage, 0.25},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := tc.scenario.withDefaults(defaultRules).simulate(t, 1)
			usedShare := f.workSent / f.workCapacity
			t.Logf("peak work in a window: %.2f of the limit (actual work: %.2f); share of the capacity used: %.2f",
				f.peakNotifiedMeanWork, f.peakNotifiedActualWork, usedShare)
			if f.peakNotifiedMeanWork > 1 || f.peakNotifiedActualWork > 1 || f.overloads > 0 {
				t.Errorf("peak work from notified nodes: got %.2f of the limit (actual work: %.2f), want at most 1; "+
					"sends that overloaded a server: got %d, want 0",
					f.peakNotifiedMeanWork, f.peakNotifiedActualWork, f.overloads)
			}
			if f.workSent < tc.minUsedShare*f.workCapacity {
				t.Errorf("share of the work that servers could do while warming up: got %.2f, want at least %.2f",
					usedShare, tc.minUsedShare)
			}
		})
	}
}

// withDefaults returns the scenario with defaults in place of zero values: an offered load of 0.5, the given rules, and
// 20 servers with a lead time of 10 s.
func (c scenario) withDefaults(rules Rules) scenario {
	if c.offeredLoad == 0 {
		c.offeredLoad = 0.5
	}
	if c.serverCount == 0 {
		c.serverCount, c.leadTime = 20, 10*time.Second
	}
	if c.rules == (Rules{}) {
		c.rules = rules
	}
	return c
}
