package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// fakeHost is a Host that records the actions of one Balancer.
type fakeHost struct {
	sends      []sentAttempt
	cancels    int
	rejected   map[RequestID]time.Duration // the Retry-After of each rejected request
	failed     map[RequestID]bool
	timers     []timer // timers that are set and have not run yet
	watches    int
	syncStates []SyncState // states with which SetSyncState was called
	log        []string    // all actions in order, one line each
}

// sentAttempt records a call of Send.
type sentAttempt struct {
	id     RequestID
	server ServerID
}

// timer records a call of SetTimer.
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

// runDueTimers runs the timers that are due. Timers that are set meanwhile do not run before the next call.
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

// popDueTimer removes and returns the earliest timer if it is due by the given time, and returns nil otherwise.
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

func (h *fakeHost) SetSyncState(state SyncState) {
	h.logAction("sync %v", state)
	h.syncStates = append(h.syncStates, state)
}

// testSettings returns settings of a single node with three classes: class 0 is idempotent, class 1 is idempotent
// with a key, and class 2 is not idempotent.
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

// harness drives a Balancer with a fakeHost and a virtual clock.
type harness struct {
	t                *testing.T
	balancer         *Balancer
	host             *fakeHost
	now              time.Duration
	lastID           RequestID
	outcomesReported map[RequestID]int // number of outcomes reported for each request
}

// newHarness returns a harness with the given number of ready servers, which come from a cached endpoint list.
func newHarness(t *testing.T, settings Settings, servers int) *harness {
	t.Helper()
	host := newFakeHost()
	balancer, err := New(settings, 1, host)
	if err != nil {
		t.Fatalf("New(%+v): %v", settings, err)
	}
	h := &harness{t: t, balancer: balancer, host: host, now: time.Hour, outcomesReported: map[RequestID]int{}}
	h.updateEndpoints(UpdateCached, readyEndpoints(1, servers)...)
	return h
}

// readyEndpoints returns ready endpoints for the servers with the IDs first to last. A cell holds two consecutive IDs
// and a zone five.
func readyEndpoints(first, last int) []Endpoint {
	var entries []Endpoint
	for i := first; i <= last; i++ {
		entries = append(entries, Endpoint{
			Server: ServerID(i), Cell: i / 2, Zone: i / 5, State: EndpointReady, Weight: 1,
		})
	}
	return entries
}

func (h *harness) updateEndpoints(kind UpdateKind, entries ...Endpoint) {
	h.balancer.UpdateEndpoints(h.now, kind, entries)
}

// request makes a request of the given class arrive and returns its ID.
func (h *harness) request(class int) RequestID {
	h.lastID++
	h.balancer.Request(h.now, Request{ID: h.lastID, Class: class, Timeout: 2 * time.Second})
	return h.lastID
}

// attemptedServers returns the server of each attempt of a request, in order.
func (h *harness) attemptedServers(id RequestID) []ServerID {
	var servers []ServerID
	for _, s := range h.host.sends {
		if s.id == id {
			servers = append(servers, s.server)
		}
	}
	return servers
}

// endAttempt reports the outcome of the earliest attempt of a request whose outcome has not been reported yet. The
// status StatusOK also completes the request.
func (h *harness) endAttempt(id RequestID, status Status, latency time.Duration) {
	index := h.outcomesReported[id]
	h.outcomesReported[id]++
	h.balancer.Outcome(h.now, Outcome{
		ID: id, Attempt: index, Server: h.attemptedServers(id)[index], Status: status, Latency: latency,
		RequestCompleted: status == StatusOK,
	})
}

// advance moves the clock forward and runs the timers that become due, including those that are set meanwhile.
func (h *harness) advance(d time.Duration) {
	end := h.now + d
	for due := h.host.popDueTimer(end); due != nil; due = h.host.popDueTimer(end) {
		h.now = max(h.now, due.at)
		h.balancer.Timer(h.now, due.token)
	}
	h.now = end
}

// serveRequests makes n requests of class 0 arrive one after another. Each request that is sent to a server succeeds
// with the given latency.
func (h *harness) serveRequests(n int, latency time.Duration) {
	for range n {
		id := h.request(0)
		h.advance(latency)
		if h.outcomesReported[id] < len(h.attemptedServers(id)) {
			h.endAttempt(id, StatusOK, latency)
		}
	}
}

// breakerCounts returns the number of ready servers by the state of their circuit breaker.
func (h *harness) breakerCounts() [3]int {
	var count [3]int
	for _, s := range h.balancer.endpoints.ready {
		count[s.breaker.state]++
	}
	return count
}

// newUndersampledHarness returns a harness for one of 80 nodes that share 60 servers, in the undersampled regime. The
// node has already measured latencies. Class 0 has a low priority weight and class 1 a high priority weight. Late
// responses to requests of class 1 still earn half of that weight.
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
		t.Fatalf("regime of 80 nodes that share 60 servers: got %+v, want %+v",
			h.balancer.subset.regime, undersampled())
	}
	return h
}

// raiseMeanInFlightAboveLimit sets the concurrency limit to one attempt per server and the mean number of attempts in
// flight to twice the node's share of that limit, while no attempt is in flight.
func (h *harness) raiseMeanInFlightAboveLimit() {
	h.balancer.refresh(h.now)
	limiter, subset := &h.balancer.limiter, &h.balancer.subset
	limiter.limit, limiter.knownGoodLimit, limiter.congestionDetected = 1, 1, true
	limiter.meanInFlight = 2 * limiter.limit / subset.nodesPerServer * float64(subset.closedBreakers)
}

// recordBreakerFailures records failed attempts with the given status for the circuit breaker of a server, all at the
// current time.
func (h *harness) recordBreakerFailures(s *server, failures int, status Status) {
	for range failures {
		h.balancer.recordBreakerFailure(h.now, &attempt{server: s}, status)
	}
}

// openAllBreakers opens the circuit breakers of all ready servers. The breakers never become half-open.
func (h *harness) openAllBreakers() {
	for _, s := range h.balancer.endpoints.ready {
		s.breaker.state, s.breaker.halfOpenAt = breakerOpen, maxTime
	}
}

// succeedRequestsOlderThan ends all attempts of the requests that were first sent at least age ago, with status
// StatusOK.
func (h *harness) succeedRequestsOlderThan(age time.Duration) {
	for id := range h.lastID {
		record := h.balancer.requests.byID[id]
		if record == nil || len(record.attempts) == 0 || h.now-record.attempts[0].startedAt < age {
			continue
		}
		for i := range record.attempts {
			h.balancer.Outcome(h.now, Outcome{ID: id, Attempt: i, Status: StatusOK, RequestCompleted: true, Latency: age})
		}
	}
}
