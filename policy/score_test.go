package policy

import "testing"

// Guards against preferring a server that rejects requests: its attempts end at once, so that it has few in flight.
func TestRejectionLowersTheScore(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	h.serveRequests(30, 20*ms)
	id := h.request(0)
	rejecting := h.balancer.endpoints.byID[h.attemptedServers(id)[0]]

	h.endAttempt(id, StatusRejected, 0)
	h.advance(ms)
	h.balancer.refresh(h.now)

	for _, s := range h.balancer.subset.servers {
		if s != rejecting && s.score.value <= rejecting.score.value {
			t.Fatalf("scores after server %d rejected a request: got %.2f, other server %d %.2f; want the first lower",
				rejecting.Server, rejecting.score.value, s.Server, s.score.value)
		}
	}
}

func TestScorePrefersSuccessThenLatencyThenFewerInFlight(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	servers := h.balancer.endpoints.ready
	good, slow, failing := servers[0], servers[1], servers[2]
	for range 50 {
		good.score.outcomes.AddSuccess(h.now, 1)
		slow.score.outcomes.AddSuccess(h.now, 5)
		failing.score.outcomes.AddSuccess(h.now, 1)
		failing.score.outcomes.AddFailure(h.now)
	}

	h.balancer.refresh(h.now)

	if !descending(good.score.value, slow.score.value) || !descending(good.score.value, failing.score.value) {
		t.Fatalf("scores: got good %.2f, slow %.2f, failing %.2f; want the good server highest",
			good.score.value, slow.score.value, failing.score.value)
	}
	if betterServer(good, slow) != good || betterServer(failing, good) != good {
		t.Fatal("betterServer did not return the server with the higher score")
	}
	similar := &server{score: serverScore{value: good.score.value - scoreTieMargin/2}}
	good.inFlight = append(good.inFlight, &attempt{})
	if betterServer(good, similar) != similar {
		t.Fatalf("betterServer did not return the server with fewer attempts in flight, at scores of %.2f and %.2f",
			good.score.value, similar.score.value)
	}
}

// descending reports whether each score is higher than the next. It is false if any of them is NaN.
func descending(scores ...float64) bool {
	for i := range len(scores) - 1 {
		if above := scores[i] > scores[i+1]; !above {
			return false
		}
	}
	return true
}

func TestServerWithoutOutcomesScoresBetweenFastAndSlow(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	fast, slow, unmeasured := h.addFastAndSlowOutcomes()

	h.balancer.refresh(h.now)

	if !descending(fast.score.value, unmeasured.score.value, slow.score.value) {
		t.Fatalf("scores: got fast %.2f, without outcomes %.2f, slow %.2f; want descending scores",
			fast.score.value, unmeasured.score.value, slow.score.value)
	}
}

// Guards against servers that are avoided for good because of old outcomes.
func TestExpiredOutcomesDoNotAffectTheScore(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	fast, slow, _ := h.addFastAndSlowOutcomes()
	h.balancer.refresh(h.now)

	h.balancer.refresh(h.now + 2*wellSampled().maxOutcomeAge)

	if fast.score.value != slow.score.value {
		t.Fatalf("scores after all outcomes expired: got fast %.2f, slow %.2f; want equal scores",
			fast.score.value, slow.score.value)
	}
}

// addFastAndSlowOutcomes adds outcomes to a fast server and a slow server. It returns both servers and a server without
// outcomes.
func (h *harness) addFastAndSlowOutcomes() (*server, *server, *server) {
	servers := h.balancer.endpoints.ready
	fast, slow, unmeasured := servers[0], servers[1], servers[2]
	for range 20 {
		fast.score.outcomes.AddSuccess(h.now, 1)
		slow.score.outcomes.AddSuccess(h.now, 3)
	}
	return fast, slow, unmeasured
}

// Guards against scores that still favour a server seconds after it has become congested. With many nodes, the load of
// a server changes faster than a single node can measure.
func TestUndersampledNodeExpiresOutcomesSooner(t *testing.T) {
	for _, tc := range []struct {
		nodes    int
		wantKept bool
	}{{1, true}, {80, false}} {
		settings := testSettings()
		settings.Nodes = tc.nodes
		h := newHarness(t, settings, 20)
		h.balancer.refresh(h.now)
		s := h.balancer.subset.servers[0]
		s.score.outcomes.AddSuccess(h.now, 1)
		h.now += (undersampled().maxOutcomeAge + wellSampled().maxOutcomeAge) / 2
		h.balancer.refresh(h.now)
		if kept := s.score.outcomes.Len() == 1; kept != tc.wantKept {
			t.Errorf("outcome kept for 7 s with %d nodes: got %v, want %v", tc.nodes, kept, tc.wantKept)
		}
	}
}
