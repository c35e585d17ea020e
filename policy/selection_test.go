package policy

import (
	"testing"
)

// Guards against taking a server that turns requests away for an idle one: it took
// 38 of 100 sends on a day when two servers had hung and were full.
func TestFullServerLosesItsScore(t *testing.T) {
	r := newRig(t, testSettings(), 3)
	r.serve(30, 0, 20*ms)
	id := r.request(0)
	full := r.sendsOf(id)[0]
	r.end(id, Rejected, 0)
	r.pass(ms)
	r.b.refresh(r.now)
	for _, s := range r.b.subset.servers {
		if s.Server != full && s.score <= r.b.endpoints.byID[full].score {
			t.Fatalf("the full server scores %.2f, another %.2f", r.b.endpoints.byID[full].score, s.score)
		}
	}
}

func TestScorePrefersSuccessThenLatencyThenFewerInFlight(t *testing.T) {
	r := newRig(t, testSettings(), 3)
	good, slow, failing := r.b.endpoints.ready[0], r.b.endpoints.ready[1], r.b.endpoints.ready[2]
	for range 50 {
		good.outcomes.Add(r.now, true, 1)
		slow.outcomes.Add(r.now, true, 5)
		failing.outcomes.Add(r.now, true, 1)
		failing.outcomes.Add(r.now, false, 0)
	}
	r.b.refresh(r.now)
	if !(good.score > slow.score && good.score > failing.score) {
		t.Fatalf("scores: good %.2f slow %.2f failing %.2f", good.score, slow.score, failing.score)
	}
	if betterServer(good, slow) != good || betterServer(failing, good) != good {
		t.Fatal("the better score lost")
	}
	twin := &server{score: good.score - scoreTieMargin/2}
	good.inFlight = append(good.inFlight, &attempt{})
	if betterServer(good, twin) != twin {
		t.Fatal("a near-tie must go to fewer requests in flight")
	}
}

func TestUnmeasuredServerStandsAtTheMean(t *testing.T) {
	r := newRig(t, testSettings(), 3)
	for range 20 {
		r.b.endpoints.ready[0].outcomes.Add(r.now, true, 1)
		r.b.endpoints.ready[1].outcomes.Add(r.now, true, 3)
	}
	r.b.refresh(r.now)
	s := r.b.endpoints.ready
	if !(s[0].score > s[2].score && s[2].score > s[1].score) {
		t.Fatalf("scores %.2f %.2f, unmeasured %.2f: not between", s[0].score, s[1].score, s[2].score)
	}
	r.b.refresh(r.now + 2*maxOutcomeAge)
	if s[0].score != s[1].score {
		t.Fatal("old outcomes still count: a server that was bad once is never met again")
	}
}

func TestEqualServersGoByZone(t *testing.T) {
	near, far := &server{sameZone: true}, &server{}
	if betterServer(far, near) != near || betterServer(near, far) != near {
		t.Fatal("among equals the own zone must win")
	}
	near.inFlight = append(near.inFlight, &attempt{})
	if betterServer(near, far) != far {
		t.Fatal("fewer in flight must win over the zone")
	}
}

// Guards against scores that still praise a server seconds after it was jammed: many nodes
// move a server's load faster than one of them gets to know of it.
func TestThinNodesForgetOutcomesSooner(t *testing.T) {
	for _, tc := range []struct {
		nodes int
		keeps bool
	}{{1, true}, {80, false}} {
		set := testSettings()
		set.Nodes = tc.nodes
		r := newRig(t, set, 20)
		r.b.refresh(r.now)
		s := r.b.subset.servers[0]
		s.outcomes.Add(r.now, true, 1)
		r.now += (maxOutcomeAgeUndersampled + maxOutcomeAge) / 2
		r.b.refresh(r.now)
		if kept := s.outcomes.Len() == 1; kept != tc.keeps {
			t.Errorf("%d nodes: an outcome of 7 s ago counts: %v, want %v", tc.nodes, kept, tc.keeps)
		}
	}
}
