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

// Guards against the overshoot of the start's fast growth, which answers reveal late.
func TestFirstCrowdTakesTheBoundBackAtOnce(t *testing.T) {
	r, b := newSteered(t)
	b.limiter.limit, b.subset.nodesPerServer = 10, 2*undersampledFrom
	adjustFor(b, r.now, 10*ms, 1)
	if b.limiter.limit > 7 {
		t.Fatalf("bound %v after the first sign of a crowd, want well below 10", b.limiter.limit)
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
