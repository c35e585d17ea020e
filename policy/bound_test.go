package policy

import (
	"testing"
	"time"
)

// adjustFor steers the bound for a while at a steady crowding.
func adjustFor(b *Balancer, from, d time.Duration, crowding float64) {
	for t := from; t < from+d; t += 10 * ms {
		b.limiter.congestion = crowding
		b.limiter.adjustOnResponse(t, b.subset.undersampled(), len(b.queue.waiting) > 0)
	}
}

func newSteered(t *testing.T) (*rig, *Balancer) {
	r := newRig(t, testSettings(), 4)
	r.b.limiter.smoothedLatency, r.b.limiter.adjustedAt = 0.1, r.now
	r.b.queue.waiting = append(r.b.queue.waiting, &request{completed: true}) // someone waits
	return r, r.b
}

// Guards against a bound that grows unused in quiet times and is none when a crowd comes.
func TestBoundGrowsOnlyWhileRequestsWait(t *testing.T) {
	r, b := newSteered(t)
	before := b.limiter.limit
	waiting := b.queue.waiting
	b.queue.waiting = nil
	adjustFor(b, r.now, time.Second, 0)
	if b.limiter.limit != before {
		t.Fatalf("bound went from %v to %v though nothing waits", before, b.limiter.limit)
	}
	b.queue.waiting = waiting
	adjustFor(b, r.now+time.Second, time.Second, 0)
	if b.limiter.limit <= before {
		t.Fatal("bound did not grow while requests wait and servers are not crowded")
	}
}

// Guards against servers that get less done the more they hold, and against a fleet
// that is slow as a whole starving itself.
func TestBoundShrinksInACrowdButNotFarBelowWhatWasGood(t *testing.T) {
	r, b := newSteered(t)
	b.limiter.congestionSeen, b.limiter.limit, b.limiter.knownGood = true, 8, 4
	adjustFor(b, r.now, 5*time.Second, 1)
	if b.limiter.limit >= 8 {
		t.Fatal("bound did not shrink in a crowd")
	}
	adjustFor(b, r.now+5*time.Second, 20*time.Second, 1)
	if b.limiter.limit < 2 || b.limiter.limit > 4 {
		t.Fatalf("bound %v after 25 s of slowness, want it near the known 4", b.limiter.limit)
	}
}

// Guards against a fleet of crowded servers that is kept crowded by many sparse nodes,
// each true to a bound that was good before: the servers could never rest.
func TestThinNodesLetCrowdedServersRest(t *testing.T) {
	r, b := newSteered(t)
	b.limiter.congestionSeen, b.limiter.limit, b.limiter.knownGood, b.subset.nodesPerServer = true, 8, 8, 2*undersampledFrom
	adjustFor(b, r.now, 10*time.Second, 1)
	if b.limiter.limit > 1 {
		t.Fatalf("bound %v after 10 s in a crowd, want under one request a server", b.limiter.limit)
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

// Guards against servers that answer, but many times slower, and keep all their traffic.
func TestSlowAnswersOpenABreakerOnThinNodes(t *testing.T) {
	set := testSettings()
	set.Nodes = 80
	r := newRig(t, set, 6)
	r.b.refresh(r.now)
	s := r.b.subset.servers[0]
	q := &request{class: &r.b.classes[0]}
	for range failureThreshold {
		a := &attempt{server: s, request: q, sentAt: r.now}
		slow := time.Duration(2 * slowResponseMultiple * q.baselineLatency() * float64(time.Second))
		r.b.recordOutcome(r.now, q, a, Outcome{Status: OK, Latency: slow})
	}
	if s.breaker.state != breakerOpen {
		t.Fatal("a server whose answers all come ten times later than alone stays closed")
	}
}

// Guards against servers that go on getting requests while none is answered: on a join day
// 30 of 60 servers answered nothing for seconds, with hundreds of abandoned requests in
// their queues, and no breaker opened. Each node saw few time-outs, and each was shorter
// than four times the fleet's mean, which the jam itself had raised.
func TestTimeoutsOpenABreakerThoughTheFleetIsSlow(t *testing.T) {
	for _, tc := range []struct{ nodes, opens int }{{1, failureThreshold}, {80, noResponseThreshold}} {
		set := testSettings()
		set.Nodes = tc.nodes
		r := newRig(t, set, 12)
		r.b.refresh(r.now)
		if want := tc.nodes == 80; r.b.subset.undersampled() != want {
			t.Fatalf("%d nodes: sparse %v, want %v", tc.nodes, r.b.subset.undersampled(), want)
		}
		r.b.means.relativeLatency = 3
		s := r.b.subset.servers[0]
		q := &request{class: &r.b.classes[0]}
		waited := time.Duration(2 * unresponsiveMultiple * q.baselineLatency() * float64(time.Second))
		for i := range tc.opens {
			if s.breaker.state != breakerClosed {
				t.Fatalf("%d nodes: open after %d time-outs, want %d", tc.nodes, i, tc.opens)
			}
			a := &attempt{server: s, request: q, sentAt: r.now}
			r.b.recordOutcome(r.now, q, a, Outcome{Status: Timeout, Latency: waited})
		}
		if s.breaker.state != breakerOpen {
			t.Fatalf("%d nodes: closed after %d time-outs in a row", tc.nodes, tc.opens)
		}
	}
}

// Guards against nodes that meet the whole fleet and so know none of it, and against a
// share of cold machines alone.
func TestShareGrowsWithTrafficAndSkipsOpenAndColdServers(t *testing.T) {
	set := testSettings()
	set.Nodes, set.Node = 100, 37
	r := newRig(t, set, 40)
	r.b.refresh(r.now)
	if n := len(r.b.subset.servers); n != minSubsetSize {
		t.Fatalf("a node without traffic uses %d servers, want %d", n, minSubsetSize)
	}
	r.b.subset.servers[0].breaker.state = breakerOpen
	r.b.subset.servers[1].StartedAt = r.now // cold
	r.b.subset.stale = true
	r.now += ms
	r.b.refresh(r.now)
	if n := len(r.b.subset.servers); n != minSubsetSize+2 {
		t.Fatalf("%d servers with one open and one cold, want %d", n, minSubsetSize+2)
	}
	r.b.arrivalRate.Add(r.now, 240)
	r.now += ms
	r.b.refresh(r.now)
	if n := len(r.b.subset.servers); n < 25 {
		t.Fatalf("a node with 120 requests a second uses %d servers", n)
	}
}

// Guards against shares that pile up on some servers and leave others idle.
func TestSharesCoverTheServersEvenly(t *testing.T) {
	const nodes, servers = 90, 30
	met := map[ServerID]int{}
	for node := range nodes {
		set := testSettings()
		set.Nodes, set.Node = nodes, node
		r := newRig(t, set, servers)
		r.b.refresh(r.now)
		for _, s := range r.b.subset.servers {
			met[s.Server]++
		}
	}
	for id := ServerID(1); id <= servers; id++ {
		if n := met[id]; n < 11 || n > 13 {
			t.Errorf("server %d is in %d shares, want 12 or so", id, n)
		}
	}
}

// Guards against the overshoot of the start's fast growth, which answers reveal late.
func TestFirstCrowdTakesTheBoundBackAtOnce(t *testing.T) {
	r, b := newSteered(t)
	b.limiter.limit, b.subset.nodesPerServer = 10, 2*undersampledFrom
	adjustFor(b, r.now, 10*ms, 1)
	if b.limiter.limit > 7 {
		t.Fatalf("bound %v after the first sign of a crowd, want well below 10", b.limiter.limit)
	}
}

// Guards against one request a server from each of many nodes, which is a crowd, and
// against a node that waits for room at its own chance peaks, though all nodes together
// are far from their bound.
func TestThinNodeKeepsItsMeanInFlightToTheBound(t *testing.T) {
	set := testSettings()
	set.Nodes = 80
	r := newRig(t, set, 20)
	bound := r.b.limiter.limit * 20 / 80 // in flight, its part of the whole
	for range 3 {
		r.request(0)
	}
	if n := len(r.h.sends); n < 2 {
		t.Fatalf("%d of 3 requests that came at once were sent, the bound is %.1f", n, bound)
	}
	held, sum := 0, 0
	for range 300 { // requests that nobody answers for half a second each
		id := r.request(0)
		r.pass(10 * ms)
		sum += r.b.limiter.inFlight
		if len(r.sendsOf(id)) == 0 {
			held++
		}
		for id := range r.next {
			a := r.b.requests.byID[id]
			if a == nil || len(a.attempts) == 0 || r.now-a.attempts[0].sentAt < 500*ms {
				continue
			}
			for i := range a.attempts {
				r.b.Outcome(r.now, Outcome{ID: id, Attempt: i, Status: OK, RequestEnded: true, Latency: 500 * ms})
			}
		}
	}
	if mean := float64(sum) / 300; held == 0 || mean > 2*bound+1 {
		t.Fatalf("%d held, %.1f in flight on the average; the node's part is %.1f", held, mean, bound)
	}
}

// Guards against a yardstick that grows with the crowd: alone among ours is not alone.
func TestLoneLatenciesAreLearntOnlyInAQuietFleet(t *testing.T) {
	set := testSettings()
	set.Nodes = 7
	r := newRig(t, set, 7)
	r.b.limiter.limit = 2 * r.b.subset.nodesPerServer
	r.b.arrivalRate.Add(r.now, 100)
	lone, sends := 0, 0
	for range 7 {
		for _, a := range r.b.requests.byID[r.request(0)].attempts {
			sends++
			if a.unloaded {
				lone++
			}
		}
	}
	if lone == 0 || sends < 5 || lone > 4 {
		t.Fatalf("%d of %d requests count as lone, want the first few", lone, sends)
	}
}

// Guards against a stop of all sends when servers that hold our attempts vanish.
func TestAttemptsAtOpenServersDoNotFillTheBound(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	for range 4 {
		r.request(0)
	}
	for _, s := range r.b.endpoints.ready[:2] {
		for range failureThreshold {
			r.b.recordFailure(r.now, &attempt{server: s}, ServerError)
		}
	}
	for _, s := range r.b.endpoints.ready[2:] {
		for _, a := range append([]*attempt(nil), s.inFlight...) {
			r.end(a.request.ID, OK, 10*ms)
		}
	}
	if id := r.request(0); len(r.sendsOf(id)) != 1 {
		t.Fatal("a free server is left idle because open ones hold attempts")
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

// thinRig has many nodes, a cheap class 0 and a precious class 1 whose late answers still
// earn half, and a fleet that the node has got to know as one that answers in time.
func thinRig(t *testing.T) *rig {
	set := testSettings()
	set.Nodes = 80
	set.Limits.MaxRetryAfter = 750 * ms
	class := Class{Deadline: 400 * ms, Objective: 160 * ms, PriorityWeight: 1, LateFraction: 0.25}
	precious := Class{Deadline: 530 * ms, Objective: 160 * ms, PriorityWeight: 10, LateFraction: 0.5, Idempotency: NotIdempotent}
	set.Classes = []Class{class, precious}
	r := newRig(t, set, 60)
	r.serve(40, 0, 30*ms)
	if !r.b.subset.undersampled() {
		t.Fatal("80 nodes at 60 servers are not sparse")
	}
	return r
}

// fill has the node at its mean in flight, with none out at this moment.
func (r *rig) fill() {
	r.b.refresh(r.now)
	r.b.limiter.limit, r.b.limiter.knownGood, r.b.limiter.congestionSeen = 1, 1, true
	r.b.limiter.meanInFlight = 2 * r.b.limiter.limit / r.b.subset.nodesPerServer * float64(r.b.subset.closed)
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

// Guards against nodes that keep unequal parts of the same servers: those whose bound a crowd
// had once brought to its floor refused most requests, while others had eight times their room.
func TestThinNodesThatShareServersComeToEqualBounds(t *testing.T) {
	var nodes []*Balancer
	for _, limit := range []float64{0.5, 4} {
		r := thinRig(t)
		r.b.limiter.congestionSeen, r.b.limiter.limit, r.b.limiter.knownGood = true, limit, limit
		r.b.queue.waiting = append(r.b.queue.waiting, &request{})
		r.b.limiter.adjustedAt = time.Hour
		nodes = append(nodes, r.b)
	}
	now := time.Hour
	for range 400 { // both see the same servers: a crowd once they send too much together
		crowding := 0.0
		if nodes[0].limiter.limit+nodes[1].limiter.limit > 5 {
			crowding = 1
		}
		for _, b := range nodes {
			adjustFor(b, now, 100*ms, crowding)
		}
		now += 100 * ms
	}
	if less, more := nodes[0].limiter.limit, nodes[1].limiter.limit; more > 2*less {
		t.Fatalf("bounds %.2f and %.2f after 40 s with the same servers", less, more)
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
