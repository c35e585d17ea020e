package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// fakeHost records the actions of one Balancer.
type fakeHost struct {
	sends    []sentAttempt
	cancels  int
	rejected map[RequestID]time.Duration
	failed   map[RequestID]bool
	timers   []timer
	watches  int
	log      []string
}

type sentAttempt struct {
	id     RequestID
	server ServerID
}

type timer struct {
	at    time.Duration
	token uint64
}

func newFakeHost() *fakeHost {
	return &fakeHost{rejected: map[RequestID]time.Duration{}, failed: map[RequestID]bool{}}
}

func (h *fakeHost) logAction(format string, args ...any) {
	h.log = append(h.log, fmt.Sprintf(format, args...))
}

func (h *fakeHost) Send(id RequestID, server ServerID, timeout time.Duration) {
	h.logAction("send %d %d %v", id, server, timeout)
	h.sends = append(h.sends, sentAttempt{id, server})
}

func (h *fakeHost) Cancel(id RequestID, attempt int) {
	h.logAction("cancel %d %d", id, attempt)
	h.cancels++
}

func (h *fakeHost) Reject(id RequestID, after time.Duration) {
	h.logAction("reject %d %v", id, after)
	h.rejected[id] = after
}

func (h *fakeHost) Fail(id RequestID) {
	h.logAction("fail %d", id)
	h.failed[id] = true
}

func (h *fakeHost) SetTimer(at time.Duration, token uint64) {
	h.logAction("timer %v %d", at, token)
	h.timers = append(h.timers, timer{at, token})
}

// runDueTimers runs the timers that are due.
func (h *fakeHost) runDueTimers(balancer *Balancer, now time.Duration) {
	var due []timer
	kept := h.timers[:0]
	for _, t := range h.timers {
		if t.at <= now {
			due = append(due, t)
		} else {
			kept = append(kept, t)
		}
	}
	h.timers = kept
	for _, t := range due {
		balancer.Timer(now, t.token)
	}
}

// popDueTimer removes and returns the first timer that is due by a time, or nil.
func (h *fakeHost) popDueTimer(by time.Duration) *timer {
	if len(h.timers) == 0 {
		return nil
	}
	first := 0
	for i, t := range h.timers {
		if t.at < h.timers[first].at {
			first = i
		}
	}
	taken := h.timers[first]
	if taken.at > by {
		return nil
	}
	h.timers = slices.Delete(h.timers, first, first+1)
	return &taken
}

func (h *fakeHost) WatchEndpoints() {
	h.logAction("watch")
	h.watches++
}

// testSettings has an idempotent class, one with an idempotency key and one that is not idempotent, in this order.
func testSettings() Settings {
	s := Defaults()
	class := Class{Deadline: 2 * time.Second, Objective: 800 * ms, PriorityWeight: 1}
	withKey, notIdempotent := class, class
	withKey.Idempotency, withKey.KeyScope, withKey.KeyRetention = IdempotentWithKey, KeyScopeCell, time.Second
	notIdempotent.Idempotency = NotIdempotent
	s.Classes = []Class{class, withKey, notIdempotent}
	s.Limits = Limits{MaxAttempts: 4, Hedging: true, Cancel: true, MaxRetryAfter: time.Second}
	s.Rules = Rules{
		SlowStartShare: 0.2, SlowStartDuration: 10 * time.Second, OverloadMultiple: 3, OverloadWindow: time.Second,
		MaxPollInterval: 10 * time.Second,
	}
	return s
}

// harness drives a Balancer with a fakeHost on a virtual clock.
type harness struct {
	t                *testing.T
	balancer         *Balancer
	host             *fakeHost
	now              time.Duration
	lastID           RequestID
	outcomesReported map[RequestID]int // by request
}

func newHarness(t *testing.T, settings Settings, servers int) *harness {
	t.Helper()
	host := newFakeHost()
	balancer, err := New(settings, 1, host)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, balancer: balancer, host: host, now: time.Hour, outcomesReported: map[RequestID]int{}}
	h.updateEndpoints(UpdateCached, readyEndpoints(1, servers)...)
	return h
}

// readyEndpoints returns readyEndpoints endpoints for the servers first to last, two to a cell and five to a zone.
func readyEndpoints(first, last int) []Endpoint {
	var entries []Endpoint
	for i := first; i <= last; i++ {
		entries = append(entries, Endpoint{
			Server: ServerID(i), Cell: i / 2, Zone: i / 5, State: Ready, Weight: 1,
		})
	}
	return entries
}

func (h *harness) updateEndpoints(kind UpdateKind, entries ...Endpoint) {
	h.balancer.UpdateEndpoints(h.now, kind, entries)
}

func (h *harness) request(class int) RequestID {
	h.lastID++
	h.balancer.Request(h.now, Request{ID: h.lastID, Class: class, Timeout: 2 * time.Second})
	return h.lastID
}

// attemptedServers returns the servers that a request was sent to.
func (h *harness) attemptedServers(id RequestID) []ServerID {
	var servers []ServerID
	for _, s := range h.host.sends {
		if s.id == id {
			servers = append(servers, s.server)
		}
	}
	return servers
}

// endAttempt ends the first attempt of a request that has not ended yet.
func (h *harness) endAttempt(id RequestID, status Status, latency time.Duration) {
	index := h.outcomesReported[id]
	h.outcomesReported[id]++
	h.balancer.Outcome(h.now, Outcome{
		ID: id, Attempt: index, Server: h.attemptedServers(id)[index], Status: status, Latency: latency,
		RequestCompleted: status == OK,
	})
}

// advance moves the clock and runs the timers that become due, also those that are set meanwhile.
func (h *harness) advance(d time.Duration) {
	end := h.now + d
	for due := h.host.popDueTimer(end); due != nil; due = h.host.popDueTimer(end) {
		h.now = max(h.now, due.at)
		h.balancer.Timer(h.now, due.token)
	}
	h.now = end
}

// serveRequests makes n requests of class 0 succeed with the same latency, one after another.
func (h *harness) serveRequests(n int, latency time.Duration) {
	for range n {
		id := h.request(0)
		h.advance(latency)
		if h.outcomesReported[id] < len(h.attemptedServers(id)) {
			h.endAttempt(id, OK, latency)
		}
	}
}

// breakerCounts counts the breakerCounts by state.
func (h *harness) breakerCounts() [3]int {
	var count [3]int
	for _, s := range h.balancer.endpoints.ready {
		count[s.breaker.state]++
	}
	return count
}

// newUndersampledHarness has many nodes and warm measurements. Class 0 has a low priority weight, class 1 a
// high one, of which late responses still earn half.
func newUndersampledHarness(t *testing.T) *harness {
	t.Helper()
	settings := testSettings()
	settings.Nodes = 80
	settings.Limits.MaxRetryAfter = 750 * ms
	class := Class{Deadline: 400 * ms, Objective: 160 * ms, PriorityWeight: 1, LateFraction: 0.25}
	highPriority := Class{
		Deadline: 530 * ms, Objective: 160 * ms, PriorityWeight: 10, LateFraction: 0.5, Idempotency: NotIdempotent,
	}
	settings.Classes = []Class{class, highPriority}
	h := newHarness(t, settings, 60)
	h.serveRequests(40, 30*ms)
	if h.balancer.subset.regime != undersampled() {
		t.Fatal("80 nodes at 60 servers are not undersampled")
	}
	return h
}

// raiseMeanInFlightAboveLimit sets the mean number of attempts in flight above the limit, with none in flight now.
func (h *harness) raiseMeanInFlightAboveLimit() {
	h.balancer.refresh(h.now)
	limiter, subset := &h.balancer.limiter, &h.balancer.subset
	limiter.limit, limiter.knownGoodLimit, limiter.congestionSeen = 1, 1, true
	limiter.meanInFlight = 2 * limiter.limit / subset.nodesPerServer * float64(subset.closed)
}

// recordBreakerFailures counts failed attempts for the breaker of their server, all of them now.
func (h *harness) recordBreakerFailures(s *server, failures int, status Status) {
	for range failures {
		h.balancer.recordBreakerFailure(h.now, &attempt{server: s}, status)
	}
}

// openAllBreakers ejects every server for good.
func (h *harness) openAllBreakers() {
	for _, s := range h.balancer.endpoints.ready {
		s.breaker.state, s.breaker.halfOpenAt = breakerOpen, maxTime
	}
}

// succeedRequestsOlderThan makes all attempts succeed of those requests that were first sent at least this long ago.
func (h *harness) succeedRequestsOlderThan(age time.Duration) {
	for id := range h.lastID {
		record := h.balancer.requests.byID[id]
		if record == nil || len(record.attempts) == 0 || h.now-record.attempts[0].sentAt < age {
			continue
		}
		for i := range record.attempts {
			h.balancer.Outcome(h.now, Outcome{ID: id, Attempt: i, Status: OK, RequestCompleted: true, Latency: age})
		}
	}
}
