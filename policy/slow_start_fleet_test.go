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
	usual := Rules{
		SlowStartShare: 0.3, SlowStartDuration: 9 * s, OverloadMultiple: 4, OverloadWindow: s, MaxPollInterval: 10 * s,
	}
	tight := Rules{
		SlowStartShare: 0.2, SlowStartDuration: 6 * s, OverloadMultiple: 2, OverloadWindow: 500 * ms,
		MaxPollInterval: 10 * s,
	}
	short := usual
	short.SlowStartDuration = 2500 * ms
	replaced := func(nodes int, rules Rules) scenario {
		return scenario{nodes: nodes, restarted: 0.6, restartSpan: 7 * s, replaced: true, rules: rules}
	}
	zone := func(nodes int, rules Rules) scenario {
		return scenario{nodes: nodes, load: 0.75, restarted: 0.5, downtime: 5 * s, rules: rules}
	}
	lateZone, replacedUnderNewNodes := zone(30, usual), replaced(30, usual)
	lateZone.lateNotice = true
	replacedUnderNewNodes.nodesRestartAfter = 3 * s
	largeReplaced, largeZone := replaced(300, short), zone(300, short)
	largeReplaced.servers, largeReplaced.warmUp, largeReplaced.restartSpan = 200, 2*s, 2*s
	largeZone.servers, largeZone.warmUp, largeZone.downtime = 200, 2*s, 2*s
	for _, tc := range []struct {
		name     string
		scenario scenario
		minUsed  float64 // least share of what the warming servers can do that has to be sent
	}{
		{"one restarts under two nodes", scenario{nodes: 2, restarted: 0.05}, 0.05},
		{"one restarts in a calm fleet", scenario{nodes: 20, restarted: 0.05}, 0.05},
		{"one restarts, tight rules", scenario{nodes: 20, restarted: 0.05, rules: tight}, 0.05},
		{"half as much again comes in the slow start", scenario{nodes: 20, restarted: 0.2, burst: 1.5}, 0.25},
		{"six in ten are replaced under 8 nodes", replaced(8, usual), 0.25},
		{"six in ten are replaced under 30 nodes", replaced(30, usual), 0.25},
		{"six in ten are replaced, tight rules", replaced(30, tight), 0.15},
		{"a zone returns under 2 nodes", zone(2, usual), 0.4},
		{"a zone returns under 30 nodes", zone(30, usual), 0.35},
		{"a zone returns, tight rules", zone(20, tight), 0.25},
		{"others fail or hang", scenario{nodes: 20, restarted: 0.2, othersFail: true}, 0.25},
		{"a third is notified late of starts", scenario{nodes: 20, restarted: 0.2, lateNotice: true}, 0.2},
		{"a third is notified late of a zone", lateZone, 0.35},
		{"nodes restart in a calm fleet", scenario{nodes: 20, restarted: 0.2, nodesRestartAfter: s}, 0.1},
		{"nodes restart among replaced servers", replacedUnderNewNodes, 0.12},
		{"all restart, 2 nodes", scenario{nodes: 2, restarted: 1, nodesRestartAfter: s}, 0.28},
		{"all restart, 30 nodes", scenario{nodes: 30, restarted: 1, nodesRestartAfter: s}, 0.28},
		{"300 nodes, six in ten replaced", largeReplaced, 0.1},
		{"300 nodes, a zone returns", largeZone, 0.25},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := tc.scenario.withDefaults(usual).simulate(t, 1)
			used := f.workSent / f.workPossible
			t.Logf("worst window %.2f of the limit (drawn work: %.2f), used %.2f",
				f.worstNotified, f.worstNotifiedDrawn, used)
			if f.worstNotified > 1 || f.worstNotifiedDrawn > 1 || f.overloads > 0 {
				t.Errorf("notified nodes sent %.2f of the limit (drawn work: %.2f), and overloaded a server %d times",
					f.worstNotified, f.worstNotifiedDrawn, f.overloads)
			}
			if f.workSent < tc.minUsed*f.workPossible {
				t.Errorf("warming servers were sent %.2f of what they could do, want %.2f", used, tc.minUsed)
			}
		})
	}
}

// withDefaults fills in what a scenario leaves open.
func (c scenario) withDefaults(rules Rules) scenario {
	if c.load == 0 {
		c.load = 0.5
	}
	if c.servers == 0 {
		c.servers, c.warmUp = 20, 10*time.Second
	}
	if c.rules == (Rules{}) {
		c.rules = rules
	}
	return c
}
