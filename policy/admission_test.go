package policy

import (
	"testing"
	"time"
)

// Guards against a crowd at the servers: what they cannot take waits here, and
// what would be late is refused while trying elsewhere still helps.
func TestRequestsBeyondTheBoundWaitAndAreShedInTime(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	for range 10 {
		r.request(0)
	}
	if n := len(r.h.sends); n > 4 {
		t.Fatalf("%d requests in flight at two unknown servers", n)
	}
	r.pass(790 * ms)
	if n := len(r.h.refused); n < 6 {
		t.Fatalf("%d of the held requests refused before their objective had passed", n)
	}
}

// Guards against one tenant's surplus taking the room of the others.
func TestOverShareTrafficWaitsBehindTheRest(t *testing.T) {
	set := testSettings()
	set.Tenants = []Tenant{{QuotaPerS: 2}, {QuotaPerS: 100}}
	set.OverQuotaFraction = 0.05
	r := newRig(t, set, 1)
	ask := func(tenant int) RequestID {
		r.next++
		r.b.Request(r.now, Request{ID: r.next, Tenant: tenant, Timeout: 2 * time.Second})
		return r.next
	}
	first := ask(0)
	ask(0)
	over, within := ask(0), ask(1)
	for i := RequestID(1); i < within; i++ {
		if i != over && len(r.sendsOf(i)) > r.done[i] {
			r.end(i, OK, 10*ms)
		}
	}
	_ = first
	if len(r.sendsOf(over)) != 0 || len(r.sendsOf(within)) != 1 {
		t.Fatal("a request over its tenant's share was served first")
	}
}

// Guards against counting every try of a client that is refused: in a storm of retries all
// of a tenant's requests looked beyond its share, and lost four fifths of their value.
func TestRefusedRequestTakesNothingOfTheTenantsShare(t *testing.T) {
	for _, refused := range []bool{true, false} {
		set := testSettings()
		set.Nodes = 80
		set.Tenants = []Tenant{{QuotaPerS: 800}}
		set.OverQuotaFraction = 0.2
		r := newRig(t, set, 20)
		for range 30 {
			if refused {
				for _, s := range r.b.endpoints.ready {
					s.breaker.state, s.breaker.halfOpenAt = breakerOpen, maxTime
				}
			}
			id := r.request(0)
			if _, was := r.h.refused[id]; was != refused {
				t.Fatalf("refused %v, want %v", was, refused)
			}
			if !refused {
				r.end(id, OK, 0)
			}
		}
		if within := r.b.quotas[0].Take(r.now); within != refused {
			t.Errorf("after 30 requests, refused %v: within the share %v", refused, within)
		}
	}
}

// Guards against ordering held requests by a guess that busy fleets never correct.
func TestWorthForWorkFollowsAllAnswers(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	heavy := &request{class: &r.b.classes[0]}
	for range 50 {
		r.b.recordLatency(&attempt{server: r.b.endpoints.ready[0]}, heavy, 0.9) // never alone
	}
	r.request(0) // fills a server, as does the next
	r.request(0)
	a, b := r.request(0), r.request(1)
	if x, y := r.b.requests.byID[a], r.b.requests.byID[b]; x == nil || y == nil || !y.precedes(x) {
		t.Fatal("a class that takes longer for the same value must come second")
	}
}

// Guards against waiting so long that the answer comes late, where a node does not see
// how long others' requests wait: work is done for nothing, and crowds the servers.
func TestThinNodeShedsBeforeAnAnswerBarelyFits(t *testing.T) {
	for _, tc := range []struct {
		nodes int
		shed  bool
	}{{1, false}, {80, true}} {
		set := testSettings()
		set.Nodes = tc.nodes
		r := newRig(t, set, 4)
		r.b.refresh(r.now)
		id := r.request(0)
		q := r.b.requests.byID[id]
		r.end(id, Rejected, ms) // not run, waits for another server
		r.b.queue.add(q)
		q.objectiveDeadline = r.now + 2*r.b.expectedLatency(q)
		r.b.shedLoad(r.now)
		if _, refused := r.h.refused[id]; refused != tc.shed {
			t.Errorf("%d nodes: shed %v, want %v", tc.nodes, refused, tc.shed)
		}
	}
}

// Guards against refusing the most precious requests first: while a zone was lost, 1,991 of
// 3,092 saves were refused within 20 ms of their arrival, when 13 times as many cheap
// requests were served. They could not be answered within the objective with a margin to spare.
func TestPreciousRequestGoesOutWhileCheapOnesWaitForTheMean(t *testing.T) {
	r := thinRig(t)
	r.fill()
	cheap, precious := r.request(0), r.request(1)
	if n := len(r.sendsOf(cheap)); n != 0 {
		t.Errorf("the cheap request went out %d times though the node is at its bound", n)
	}
	if n := len(r.sendsOf(precious)); n != 1 {
		t.Errorf("the precious request went out %d times, want once", n)
	}
}

func TestPreciousRequestIsHeldBeyondItsAimButNotPastHalfOfItsTime(t *testing.T) {
	r := thinRig(t)
	r.b.refresh(r.now)
	for _, s := range r.b.subset.servers {
		r.b.addAttempt(r.now, r.b.requests.add(Request{ID: 1000 + RequestID(s.Server)}, &r.b.classes[0]), s)
	}
	began := r.now
	r.next++
	id := r.next
	r.b.Request(r.now, Request{ID: id, Class: 1, Timeout: 500 * ms})
	r.pass(180 * ms)
	if _, refused := r.h.refused[id]; refused {
		t.Fatal("refused at its objective, though a late answer earns more than another one in time")
	}
	for _, refused := r.h.refused[id]; !refused; _, refused = r.h.refused[id] {
		r.pass(ms)
		if r.now > began+time.Second {
			t.Fatal("neither sent nor refused")
		}
	}
	if waited := r.now - began; waited > 250*ms {
		t.Errorf("refused after %v of 500 ms: its client could have asked elsewhere", waited)
	}
	if after := r.h.refused[id]; after <= 0 {
		t.Error("the client is not told when to come back")
	}
}
