package policy

import (
	"testing"
	"time"
)

// Guards against overloading a warming server, by a burst right after its start and while most of the
// fleet restarts.
func TestSlowStartBudgetStaysBelowOverload(t *testing.T) {
	for _, tc := range []struct {
		name      string
		restarted int // of ten servers
	}{{"one server", 1}, {"most of the fleet", 8}, {"all of the fleet", 10}} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, testSettings(), 10)
			h.serveRequests(200, 10*ms)
			h.restart(tc.restarted)
			s := h.balancer.endpoints.byID[1]
			h.balancer.refresh(h.now)
			if h.sendThroughSlowStart(s) == 0 {
				t.Error("a warming server must get something, or it never shows that it is warm")
			}
			record := h.balancer.requests.byID[h.request(0)]
			if !h.balancer.retry.permits(h.now, record, s) || !h.balancer.slowStart.admits(h.now, s) {
				t.Error("the budget still limits a warm server")
			}
		})
	}
}

// restart gives the first servers a new process.
func (h *harness) restart(servers int) {
	endpoints := readyEndpoints(1, servers)
	for i := range endpoints {
		endpoints[i].StartedAt = h.now
	}
	h.updateEndpoints(UpdateDelta, endpoints...)
}

// sendThroughSlowStart sends to a server all that the budget admits until it is warm, and checks the work in
// each overload window. It returns the number of sends.
func (h *harness) sendThroughSlowStart(s *server) int {
	h.t.Helper()
	rules, baseline := h.balancer.settings.Rules, h.balancer.classes[0].baseline.Value()
	warmServerRate := h.balancer.slowStart.warmServerWorkRate
	var sends []time.Duration
	for start := h.now; h.now < start+rules.SlowStartDuration; h.now += ms {
		work := baseline + 0.001
		h.balancer.slowStart.refillBudget(h.now, s, work, &h.balancer.subset, &h.balancer.arrivals)
		if h.balancer.slowStart.admits(h.now, s) {
			s.budget.work -= work
			sends = append(sends, h.now)
		}
		sendsInWindow := 0
		for _, at := range sends {
			if h.now-at < rules.OverloadWindow {
				sendsInWindow++
			}
		}
		maxWork := warmServerRate * rules.OverloadWindow.Seconds() * rules.OverloadMultiple *
			s.capacityShare(&rules, h.now)
		if sentWork := float64(sendsInWindow) * baseline; sentWork > maxWork+baseline {
			h.t.Fatalf("sent %.3f s of work within a window, more than %.3f", sentWork, maxWork)
		}
	}
	return len(sends)
}

// Guards against one send from each of many nodes at once, as soon as they are notified of a start.
func TestFirstSendsToWarmingServerAreSpread(t *testing.T) {
	const nodes = 40
	firstSends := map[time.Duration]int{} // by tenth of a second after the start
	for seed := range uint64(nodes) {
		balancer, err := New(testSettings(), seed, newFakeHost())
		if err != nil {
			t.Fatal(err)
		}
		entries := readyEndpoints(1, 3)
		entries[0].StartedAt = time.Hour
		balancer.UpdateEndpoints(time.Hour, UpdateCached, entries)
		balancer.refresh(time.Hour)
		work := balancer.classes[0].baseline.Value()
		balancer.slowStart.warmServerWorkRate = work // one unloaded request per second
		wait := time.Duration(0)
		for ; wait < 10*time.Second; wait += 10 * ms {
			now, warming := time.Hour+wait, balancer.endpoints.byID[1]
			balancer.slowStart.refillBudget(now, warming, work, &balancer.subset, &balancer.arrivals)
			if balancer.slowStart.admits(now, warming) {
				break
			}
		}
		firstSends[wait/(100*ms)]++
	}
	for tenth, n := range firstSends {
		if n > nodes/4 {
			t.Errorf("%d of %d nodes sent first in tenth %d of a second after the start", n, nodes, tenth)
		}
	}
}
