package policy

import (
	"testing"
	"time"
)

// Guards against overloading a server that is warming up: by a burst right after its start, and while most of the
// servers restart.
func TestSlowStartBudgetPreventsOverload(t *testing.T) {
	for _, tc := range []struct {
		name      string
		restarted int // number of restarted servers, of ten
	}{{"one server", 1}, {"most servers", 8}, {"all servers", 10}} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, testSettings(), 10)
			h.serveRequests(200, 10*ms)
			h.restart(tc.restarted)
			s := h.balancer.endpoints.byID[1]
			h.balancer.refresh(h.now)
			if h.sendThroughSlowStart(s) == 0 {
				t.Error("sends to a server that is warming up: got none, want at least 1")
			}
			record := h.balancer.requests.byID[h.request(0)]
			if !h.balancer.retry.permitsAttempt(h.now, record, s) || !h.balancer.slowStart.permitsAttempt(h.now, s) {
				t.Error("attempt at a warm server: not permitted, want it permitted whatever the slow start budget")
			}
		})
	}
}

// restart reports to the Balancer that the given number of servers have just restarted.
func (h *harness) restart(servers int) {
	endpoints := readyEndpoints(1, servers)
	for i := range endpoints {
		endpoints[i].StartedAt = h.now
	}
	h.updateEndpoints(UpdateDelta, endpoints...)
}

// sendThroughSlowStart makes all sends that a server's budget permits until the server is warm, and returns their
// number. It fails the test if the work sent within any OverloadWindow would overload the server.
func (h *harness) sendThroughSlowStart(s *server) int {
	h.t.Helper()
	rules, baseline := h.balancer.settings.Rules, h.balancer.classes[0].baseline.Value()
	warmServerWorkRate := h.balancer.slowStart.warmServerWorkRate
	var sends []time.Duration
	for start := h.now; h.now < start+rules.SlowStartDuration; h.now += ms {
		work := baseline + 0.001
		h.balancer.slowStart.refillBudget(h.now, s, work, &h.balancer.subset, &h.balancer.arrivals)
		if h.balancer.slowStart.permitsAttempt(h.now, s) {
			s.budget.work -= work
			sends = append(sends, h.now)
		}
		sendsInWindow := 0
		for _, at := range sends {
			if h.now-at < rules.OverloadWindow {
				sendsInWindow++
			}
		}
		maxWork := warmServerWorkRate * rules.OverloadWindow.Seconds() * rules.OverloadMultiple *
			s.capacityShare(&rules, h.now)
		if sentWork := float64(sendsInWindow) * baseline; sentWork > maxWork+baseline {
			h.t.Fatalf("work sent within %v, %v after the start: got %.3f s, want at most %.3f s",
				rules.OverloadWindow, h.now-start, sentWork, maxWork+baseline)
		}
	}
	return len(sends)
}

// Guards against a burst at a server that has just started: each node could send one request as soon as it is notified.
func TestFirstSendsOfNodesToWarmingServerAreSpread(t *testing.T) {
	const nodes = 40
	firstSends := map[time.Duration]int{} // number of nodes, by the tenth of a second of their first send
	for seed := range uint64(nodes) {
		balancer, err := New(testSettings(), seed, newFakeHost())
		if err != nil {
			t.Fatalf("New with seed %d: %v", seed, err)
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
			if balancer.slowStart.permitsAttempt(now, warming) {
				break
			}
		}
		firstSends[wait/(100*ms)]++
	}
	for tenth, n := range firstSends {
		if n > nodes/4 {
			t.Errorf("nodes with their first send in the 100 ms from %v after the start: got %d of %d, want at most %d",
				tenth*100*ms, n, nodes, nodes/4)
		}
	}
}
