package policy

import (
	"testing"
	"time"
)

// Guards against warming servers that are overloaded by the sum of what many nodes send, none of which sees the
// others, and against a slow start that keeps them idle. A server is overloaded by more than
// N + 2 x root of N + 2 requests of mean work in OverloadWindow, where N is OverloadMultiple x its present
// capacity.
func TestSlowStartHoldsForManyNodes(t *testing.T) {
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
		minUsedShare float64 // least share of what the warming servers can do that has to be sent
	}{
		{"one restarts under two nodes", scenario{nodeCount: 2, restartedFraction: 0.05}, 0.05},
		{"one restarts in a calm fleet", scenario{nodeCount: 20, restartedFraction: 0.05}, 0.05},
		{
			"one restarts, tight rules",
			scenario{nodeCount: 20, restartedFraction: 0.05, rules: tightRules}, 0.05,
		},
		{
			"half as much again comes in the slow start",
			scenario{nodeCount: 20, restartedFraction: 0.2, burstFactor: 1.5}, 0.25,
		},
		{"six in ten are replaced under 8 nodes", replacedServers(8, defaultRules), 0.25},
		{"six in ten are replaced under 30 nodes", replacedServers(30, defaultRules), 0.25},
		{"six in ten are replaced, tight rules", replacedServers(30, tightRules), 0.15},
		{"a zone returns under 2 nodes", zoneOutage(2, defaultRules), 0.4},
		{"a zone returns under 30 nodes", zoneOutage(30, defaultRules), 0.35},
		{"a zone returns, tight rules", zoneOutage(20, tightRules), 0.25},
		{"others fail or hang", scenario{nodeCount: 20, restartedFraction: 0.2, othersFail: true}, 0.25},
		{
			"a third is notified late of starts",
			scenario{nodeCount: 20, restartedFraction: 0.2, lateNotifications: true}, 0.2,
		},
		{"a third is notified late of a zone", lateZoneOutage, 0.35},
		{
			"nodes restart in a calm fleet",
			scenario{nodeCount: 20, restartedFraction: 0.2, nodesRestartAfter: s}, 0.1,
		},
		{"nodes restart among replaced servers", replacedWhileNodesRestart, 0.12},
		{"all restart, 2 nodes", scenario{nodeCount: 2, restartedFraction: 1, nodesRestartAfter: s}, 0.28},
		{"all restart, 30 nodes", scenario{nodeCount: 30, restartedFraction: 1, nodesRestartAfter: s}, 0.28},
		{"300 nodes, six in ten replaced", largeReplacement, 0.1},
		{"300 nodes, a zone returns", largeZoneOutage, 0.25},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := tc.scenario.withDefaults(defaultRules).simulate(t, 1)
			usedShare := f.workSent / f.workCapacity
			t.Logf("worst window %.2f of the limit (drawn work: %.2f), used %.2f",
				f.peakNotifiedMeanWork, f.peakNotifiedActualWork, usedShare)
			if f.peakNotifiedMeanWork > 1 || f.peakNotifiedActualWork > 1 || f.overloads > 0 {
				t.Errorf("notified nodes sent %.2f of the limit (drawn work: %.2f), and overloaded a server %d times",
					f.peakNotifiedMeanWork, f.peakNotifiedActualWork, f.overloads)
			}
			if f.workSent < tc.minUsedShare*f.workCapacity {
				t.Errorf("warming servers were sent %.2f of what they could do, want %.2f", usedShare, tc.minUsedShare)
			}
		})
	}
}

// withDefaults fills in what a scenario leaves open.
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
