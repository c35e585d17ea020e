package policy

import "testing"

// Guards against taking a server that rejects requests for an idle one.
func TestRejectionLowersTheScore(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	h.serveRequests(30, 20*ms)
	id := h.request(0)
	full := h.balancer.endpoints.byID[h.attemptedServers(id)[0]]

	h.endAttempt(id, Rejected, 0)
	h.advance(ms)
	h.balancer.refresh(h.now)

	for _, s := range h.balancer.subset.servers {
		if s != full && s.score.value <= full.score.value {
			t.Fatalf("the rejecting server scores %.2f, another %.2f", full.score.value, s.score.value)
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
		t.Fatalf("scores: good %.2f slow %.2f failing %.2f", good.score.value, slow.score.value, failing.score.value)
	}
	if betterServer(good, slow) != good || betterServer(failing, good) != good {
		t.Fatal("the better score lost")
	}
	twin := &server{score: serverScore{value: good.score.value - scoreTieMargin/2}}
	good.inFlight = append(good.inFlight, &attempt{})
	if betterServer(good, twin) != twin {
		t.Fatal("a near-tie must go to fewer requests in flight")
	}
}

// descending reports whether each score is above the next. A score that is not a number is above none.
func descending(scores ...float64) bool {
	for i := range len(scores) - 1 {
		if above := scores[i] > scores[i+1]; !above {
			return false
		}
	}
	return true
}

func TestServerWithoutOutcomesScoresTheMean(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	fast, slow, unmeasured := h.addFastAndSlowOutcomes()

	h.balancer.refresh(h.now)

	if !descending(fast.score.value, unmeasured.score.value, slow.score.value) {
		t.Fatalf("scores %.2f and %.2f, unmeasured %.2f: not between",
			fast.score.value, slow.score.value, unmeasured.score.value)
	}
}

// Guards against servers that were bad once and are never tried again.
func TestOldOutcomesNoLongerCountForTheScore(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	fast, slow, _ := h.addFastAndSlowOutcomes()
	h.balancer.refresh(h.now)

	h.balancer.refresh(h.now + 2*wellSampled().maxOutcomeAge)

	if fast.score.value != slow.score.value {
		t.Fatalf("scores %.2f and %.2f: old outcomes still count", fast.score.value, slow.score.value)
	}
}

// addFastAndSlowOutcomes adds outcomes to two servers, the second of which is slow, and none to a third.
func (h *harness) addFastAndSlowOutcomes() (*server, *server, *server) {
	servers := h.balancer.endpoints.ready
	fast, slow, unmeasured := servers[0], servers[1], servers[2]
	for range 20 {
		fast.score.outcomes.AddSuccess(h.now, 1)
		slow.score.outcomes.AddSuccess(h.now, 3)
	}
	return fast, slow, unmeasured
}

// Guards against scores that favour a server seconds after it became congested. Many nodes change a server's load
// faster than one of them measures it.
func TestUndersampledNodeForgetsOutcomesSooner(t *testing.T) {
	for _, tc := range []struct {
		nodes int
		keeps bool
	}{{1, true}, {80, false}} {
		settings := testSettings()
		settings.Nodes = tc.nodes
		h := newHarness(t, settings, 20)
		h.balancer.refresh(h.now)
		s := h.balancer.subset.servers[0]
		s.score.outcomes.AddSuccess(h.now, 1)
		h.now += (undersampled().maxOutcomeAge + wellSampled().maxOutcomeAge) / 2
		h.balancer.refresh(h.now)
		if kept := s.score.outcomes.Len() == 1; kept != tc.keeps {
			t.Errorf("%d nodes: an outcome of 7 s ago counts: %v, want %v", tc.nodes, kept, tc.keeps)
		}
	}
}
