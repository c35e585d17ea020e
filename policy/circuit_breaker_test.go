package policy

import (
	"strings"
	"testing"
	"time"
)

func TestBreakerOpensTriesOneRequestAndCloses(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	bad := r.b.endpoints.ready[0]
	for range failureThreshold {
		r.b.recordFailure(r.now, &attempt{server: bad}, ServerError)
	}
	if bad.breaker.state != breakerOpen {
		t.Fatalf("breaker %v after %d failures, want open", bad.breaker.state, failureThreshold)
	}
	r.serve(20, 0, 50*ms)
	for _, s := range r.h.sends {
		if s.server == bad.Server {
			t.Fatal("an open server was sent a request before its time")
		}
	}
	r.pass(bad.breaker.halfOpenAt - r.now)
	trial := r.request(0)
	if got := r.sendsOf(trial); len(got) != 1 || got[0] != bad.Server {
		t.Fatalf("trial went to %v, want the half-open server %d", got, bad.Server)
	}
	if other := r.sendsOf(r.request(0)); len(other) != 1 || other[0] == bad.Server {
		t.Fatalf("second request went to %v while the trial is out", other)
	}
	before := bad.breaker.openDuration
	r.end(trial, ServerError, 5*ms)
	if bad.breaker.state != breakerOpen || bad.breaker.openDuration != 2*before {
		t.Fatalf("after a failed trial: breaker %v for %v, want open for %v",
			bad.breaker.state, bad.breaker.openDuration, 2*before)
	}
	r.pass(bad.breaker.halfOpenAt - r.now)
	trial = r.request(0)
	r.end(trial, OK, 50*ms)
	if bad.breaker.state != breakerClosed {
		t.Fatalf("after a good trial: breaker %v, want closed", bad.breaker.state)
	}
}

func TestFailuresOpenOnlyInARowWithinTheWindow(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	s := r.b.endpoints.ready[0]
	for range failureThreshold - 1 {
		r.b.recordFailure(r.now, &attempt{server: s}, ServerError)
	}
	s.recordSuccess(r.now, nil)
	r.b.recordFailure(r.now, &attempt{server: s}, ServerError)
	if s.breaker.state != breakerClosed {
		t.Fatal("failures with a success between them opened the breaker")
	}
	for range 2 * failureThreshold {
		r.now += failureWindow / 3
		r.b.recordFailure(r.now, &attempt{server: s}, ServerError)
	}
	if s.breaker.state != breakerClosed {
		t.Fatal("failures spread wider than the window opened the breaker")
	}
}

// Guards against a fleet-wide slowdown that opens every breaker and so refuses all.
func TestSharedSlownessLeavesHalfOfTheFleetClosed(t *testing.T) {
	r := newRig(t, testSettings(), 6)
	r.b.arrivalRate.Add(r.now, 100) // enough for all servers to be its share
	r.b.refresh(r.now)
	for _, s := range r.b.endpoints.ready {
		for range 2 * failureThreshold {
			r.b.recordFailure(r.now, &attempt{server: s}, Timeout)
		}
	}
	if got := r.breakers(); got[breakerOpen] != 3 {
		t.Fatalf("%d of 6 breakers open by slowness, want 3", got[breakerOpen])
	}
}

func TestAllOpenRefusesAtOnceWithRetryAfter(t *testing.T) {
	r := newRig(t, testSettings(), 3)
	for _, s := range r.b.endpoints.ready {
		for range failureThreshold {
			r.b.recordFailure(r.now, &attempt{server: s}, ServerError)
		}
	}
	id := r.request(2)
	after, ok := r.h.refused[id]
	if !ok || after <= 0 || after > time.Second {
		t.Fatalf("refused %v with retry-after %v, want at once and within the limit", ok, after)
	}
	r.pass(2 * initialOpenDuration)
	trial, second := r.request(0), r.request(0)
	if len(r.sendsOf(trial)) != 1 {
		t.Fatal("half-open servers must still take their trial")
	}
	_ = second
}

// Guards against a breaker that never closes again because all traffic is unsafe.
func TestUnsafeRequestTakesATrialThatNobodyElseTook(t *testing.T) {
	r := newRig(t, testSettings(), 1)
	s := r.b.endpoints.ready[0]
	for range failureThreshold {
		r.b.recordFailure(r.now, &attempt{server: s}, ServerError)
	}
	r.now = s.breaker.halfOpenAt + ms
	if id := r.request(2); len(r.sendsOf(id)) != 0 {
		t.Fatal("an unsafe request took the trial at once, where a safe one could come")
	}
	r.pass(s.breaker.openDuration + ms)
	if r.request(2); len(r.h.sends) != 1 {
		t.Fatal("nobody else took the trial, and an unsafe request did not either")
	}
}

// Where attempts fail everywhere alike, as when connections break, runs of failures
// come by chance and say nothing of their server: each breaker that opens takes what
// the server still serves. A server that usually succeeds is left after the fifth.
func TestUsualFailuresOpenNoBreaker(t *testing.T) {
	outcomes := func(b *Balancer, s *server, now time.Duration, pattern string) {
		for _, c := range pattern {
			a := &attempt{server: s}
			if c == '+' {
				s.outcomes.Add(now, true, 1)
				s.recordSuccess(now, a)
			} else {
				s.outcomes.Add(now, false, 1)
				b.recordFailure(now, a, ServerError)
			}
		}
		b.updateMeans(now)
	}
	r := newRig(t, testSettings(), 4)
	r.b.refresh(r.now)
	often, seldom := r.b.endpoints.byID[1], r.b.endpoints.byID[2]
	outcomes(r.b, often, r.now, strings.Repeat("++-", 20)+"+-----")
	if often.breaker.state != breakerClosed {
		t.Error("a run of usual failures opened the breaker")
	}
	outcomes(r.b, often, r.now, strings.Repeat("-", maxFailureThreshold-5))
	if often.breaker.state != breakerOpen {
		t.Error("a server that answers no more keeps its breaker closed")
	}
	outcomes(r.b, seldom, r.now, strings.Repeat("+", 60)+"-----")
	if seldom.breaker.state != breakerOpen {
		t.Error("five failures in a row of a good server left its breaker closed")
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
