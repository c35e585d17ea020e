package policy

import (
	"testing"
	"time"
)

// Guards against work sent after a notice, also by retries and held requests.
func TestNothingAfterADrainNotice(t *testing.T) {
	set := testSettings()
	r := newRig(t, set, 2)
	for i := range 20 { // more than there is room for: some are held
		r.request(i % 3)
	}
	first := r.h.sends[0]
	r.end(first.id, ServerError, ms) // waits for its backoff
	r.list(UpdateDelta, Endpoint{Server: 1, State: Draining})
	r.list(UpdateDelta, Endpoint{Server: 2, State: Gone})
	before := len(r.h.sends)
	r.pass(3 * time.Second)
	if len(r.h.sends) != before {
		t.Fatalf("sent %v after the notices", r.h.sends[before:])
	}
	r.list(UpdateSnapshot, ready(2, 3)...)
	if id := r.request(0); len(r.sendsOf(id)) != 1 {
		t.Fatal("the full list's servers are not used")
	}
}

// Servers are replaced under ever new ids. One that drains and is then left out
// of a whole list is forgotten like one that was ready.
func TestServersOfThePastAreForgotten(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	for i := 5; i < 3000; i++ {
		entries := ready(i-3, i)
		entries[0].State = Draining
		r.list(UpdateSnapshot, entries...)
		r.now += ms
	}
	if n := len(r.b.endpoints.byID); n > 4 {
		t.Errorf("%d servers are kept, want the 4 listed", n)
	}
}

// Guards against attempts sent to a server's former process, which fill the room of
// the new one though no answer to them comes.
func TestRestartFreesTheRoomOfTheFormerProcess(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	first, second := r.request(0), r.request(0)
	if r.b.limiter.inFlight != 2 {
		t.Fatalf("%d attempts out, want 2", r.b.limiter.inFlight)
	}
	restarted := ready(1, 2)
	for i := range restarted {
		restarted[i].StartedAt = r.now
	}
	r.now += ms
	r.list(UpdateDelta, restarted...)
	if r.b.limiter.inFlight != 0 || len(r.b.endpoints.byID[1].inFlight)+len(r.b.endpoints.byID[2].inFlight) != 0 {
		t.Fatalf("%d attempts fill the room of new processes", r.b.limiter.inFlight)
	}
	r.end(first, Reset, ms)
	r.end(second, Timeout, time.Second)
	if r.b.limiter.inFlight < 0 {
		t.Fatalf("%d attempts out", r.b.limiter.inFlight)
	}
}

// Guards against books that go wrong when a server leaves the list and comes back while
// attempts are out there, and when events name what is over.
func TestRelistedServerAndStaleEventsKeepTheBooks(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	first, second := r.request(0), r.request(2)
	r.list(UpdateSnapshot, ready(2, 2)...)
	r.list(UpdateSnapshot, ready(1, 2)...)
	if len(r.b.endpoints.ready) != 2 {
		t.Fatalf("%d servers ready after one came back, want 2", len(r.b.endpoints.ready))
	}
	r.end(first, OK, 20*ms)
	r.b.ClientDisconnected(r.now, first) // in the batch of its end
	r.b.ClientDisconnected(r.now, second)
	if r.h.cancels != 1 || len(r.h.refused)+len(r.h.failed) != 0 {
		t.Fatalf("%d cancels, answers %v %v; want one cancel", r.h.cancels, r.h.refused, r.h.failed)
	}
	r.end(second, Cancelled, 20*ms)
	r.b.Outcome(r.now, Outcome{ID: second, Status: OK}) // repeated
	r.b.Outcome(r.now, Outcome{ID: 999, Attempt: 3, Status: ServerError})
	r.b.StreamStarted(r.now, 999, 0)
	if r.b.limiter.inFlight != 0 || len(r.b.requests.byID) != 0 || len(r.b.requests.active) != 0 {
		t.Fatalf("%d out, %d known, %d open at the end", r.b.limiter.inFlight, len(r.b.requests.byID), len(r.b.requests.active))
	}
}

func TestWatchedListIsWatchedAgainAfterFailures(t *testing.T) {
	set := testSettings()
	set.PollEndpoints = true
	r := newRig(t, set, 3)
	if r.h.watches != 1 {
		t.Fatalf("%d calls at the start, want 1", r.h.watches)
	}
	for range 2 {
		r.b.WatchFailed(r.now, r.now+NotificationDeadline)
	}
	r.pass(set.Rules.MaxPollInterval / 2)
	if r.h.watches < 2 {
		t.Fatal("not asked again after a failure")
	}
	if len(r.b.endpoints.ready) != 3 {
		t.Fatal("a failed call must leave the list in force")
	}
}

// A silent watch is called anew within what is left until its news count as told, the
// nodes of a fleet apart from one another, and it is no reason to wait longer each time.
func TestSilentWatchIsCalledAnewSoon(t *testing.T) {
	const left, span = NotificationDeadline / 4, NotificationDeadline / 8 // until its news count as told, and to call anew
	set := testSettings()
	set.PollEndpoints, set.Nodes = true, 300
	apart := map[time.Duration]bool{}
	for node := range 100 {
		set.Node = node
		h := newHost()
		b, err := New(set, uint64(node), h)
		if err != nil {
			t.Fatal(err)
		}
		for range 5 {
			h.timers = nil
			b.WatchFailed(time.Hour, time.Hour+left)
			if len(h.timers) != 1 || h.timers[0].token != timerWatch || h.timers[0].at > time.Hour+span {
				t.Fatalf("timers %v", h.timers)
			}
			apart[h.timers[0].at.Truncate(span/10)] = true
		}
	}
	if len(apart) < 8 {
		t.Errorf("the calls fall into %d tenths of the span", len(apart))
	}
}

func TestFewNodesAndNodesWithNoListAskAtOnce(t *testing.T) {
	for _, tc := range []struct {
		nodes   int
		entries []Endpoint
		at      bool
	}{{3, ready(1, 10), true}, {80, nil, true}, {80, ready(1, 10), false}} {
		set := testSettings()
		set.Nodes, set.PollEndpoints = tc.nodes, true
		h := newHost()
		b, err := New(set, 1, h)
		if err != nil {
			t.Fatal(err)
		}
		b.UpdateEndpoints(time.Hour, UpdateCached, tc.entries)
		if at := h.watches == 1; at != tc.at {
			t.Errorf("%d nodes, %d servers known: asks at once: %v, want %v",
				tc.nodes, len(tc.entries), at, tc.at)
		}
		latest := time.Hour + set.Rules.MaxPollInterval/2
		if !tc.at && (len(h.timers) != 1 || h.timers[0].at > latest) {
			t.Errorf("timers %v, want one by %v", h.timers, latest)
		}
	}
}
