package policy

import (
	"testing"
	"time"
)

// Guards against cold servers that fall under the sum of what many nodes send, none of which
// sees the others, and against a ramp that keeps them idle. A server that is sent more than
// N + 2 x root of N + 2 requests of mean work in FallFor falls, N being FallMultiple x its present
// capacity. The floors are two thirds of the least of five seeds, or lower.
func TestRampHoldsForTheFleet(t *testing.T) {
	usual := Rules{SlowStartShare: 0.3, SlowStartDuration: 9 * time.Second, OverloadMultiple: 4, OverloadWindow: time.Second, MaxPollInterval: 10 * time.Second}
	tight := Rules{SlowStartShare: 0.2, SlowStartDuration: 6 * time.Second, OverloadMultiple: 2, OverloadWindow: 500 * ms, MaxPollInterval: 10 * time.Second}
	short := usual
	short.SlowStartDuration = 2500 * ms
	const s = time.Second
	for _, tc := range []struct {
		name string
		c    scenario
		used float64 // of what the cold servers can do: the least that has to be sent
	}{
		{"one restarts under two nodes", scenario{nodes: 2, cold: 0.05}, 0.05},
		{"one restarts in a calm fleet", scenario{nodes: 20, cold: 0.05}, 0.05},
		{"one restarts, tight rules", scenario{nodes: 20, cold: 0.05, rules: tight}, 0.05},
		{"half as much again comes in the ramp", scenario{nodes: 20, cold: 0.2, burst: 1.5}, 0.25},
		{"six in ten are replaced under 8 nodes", scenario{nodes: 8, cold: 0.6, over: 7 * s, replaced: true}, 0.25},
		{"six in ten are replaced under 30 nodes", scenario{nodes: 30, cold: 0.6, over: 7 * s, replaced: true}, 0.25},
		{"six in ten are replaced, tight rules", scenario{nodes: 30, cold: 0.6, over: 7 * s, replaced: true, rules: tight}, 0.15},
		{"a zone returns under 2 nodes", scenario{nodes: 2, load: 0.75, cold: 0.5, lost: 5 * s}, 0.4},
		{"a zone returns under 30 nodes", scenario{nodes: 30, load: 0.75, cold: 0.5, lost: 5 * s}, 0.35},
		{"a zone returns, tight rules", scenario{nodes: 20, load: 0.75, cold: 0.5, lost: 5 * s, rules: tight}, 0.25},
		{"others fail or hang", scenario{nodes: 20, cold: 0.2, bad: true}, 0.25},
		{"a third hears late of starts", scenario{nodes: 20, cold: 0.2, late: true}, 0.2},
		{"a third hears late of a zone", scenario{nodes: 30, load: 0.75, cold: 0.5, lost: 5 * s, late: true}, 0.35},
		{"nodes restart in a calm fleet", scenario{nodes: 20, cold: 0.2, fresh: s}, 0.1},
		{"nodes restart among replaced servers", scenario{nodes: 30, cold: 0.6, over: 7 * s, replaced: true, fresh: 3 * s}, 0.12},
		{"all restart, 2 nodes", scenario{nodes: 2, cold: 1, fresh: s}, 0.28},
		{"all restart, 30 nodes", scenario{nodes: 30, cold: 1, fresh: s}, 0.28},
		{"300 nodes, six in ten replaced", scenario{nodes: 300, servers: 200, cold: 0.6, over: 2 * s, replaced: true, rules: short, warmUp: 2 * s}, 0.1},
		{"300 nodes, a zone returns", scenario{nodes: 300, servers: 200, load: 0.75, cold: 0.5, lost: 2 * s, rules: short, warmUp: 2 * s}, 0.25},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := tc.c
			if c.load == 0 {
				c.load = 0.5
			}
			if c.servers == 0 {
				c.servers, c.warmUp = 20, 10*s
			}
			if c.rules == (Rules{}) {
				c.rules = usual
			}
			f := c.play(t, 1)
			t.Logf("worst window %.2f of the limit (drawn work: %.2f), used %.2f", f.told, f.drawn, f.sent/f.able)
			if f.told > 1 || f.drawn > 1 || f.broken > 0 {
				t.Errorf("nodes that knew sent %.2f of the limit (drawn work: %.2f), and let it fall %d times", f.told, f.drawn, f.broken)
			}
			if f.sent < tc.used*f.able {
				t.Errorf("cold servers were sent %.2f of what they could do, want %.2f", f.sent/f.able, tc.used)
			}
		})
	}
}
