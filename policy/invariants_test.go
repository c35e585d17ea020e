package policy

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// invariantChecker generates random events for one Balancer. It is also the Balancer's Host and checks the actions:
// each request completes exactly once and in time, a request is never sent again if its idempotency forbids that,
// attempts go to ready servers only, and no request has more attempts than the limit.
type invariantChecker struct {
	*fakeHost
	t           *testing.T
	rng         *rand.Rand
	balancer    *Balancer
	classes     []Class
	maxAttempts int
	now         time.Duration
	requests    map[RequestID]*trackedRequest
	completions map[RequestID]int // number of completions of each request
	endpoints   map[ServerID]Endpoint
}

// maxLateness is the longest time after its deadline at which a request may complete.
const maxLateness = 20 * ms

// trackedRequest is the checker's record of a request.
type trackedRequest struct {
	class     Class
	deadline  time.Duration
	attempts  []*trackedAttempt
	completed bool
}

// trackedAttempt is the checker's record of an attempt.
type trackedAttempt struct {
	endpoint    Endpoint
	sentAt      time.Duration
	inFlight    bool
	notExecuted bool // the attempt ended with a status that rules out its execution
}

func (c *invariantChecker) Send(id RequestID, server ServerID, timeout time.Duration) {
	c.fakeHost.Send(id, server, timeout)
	tracked, endpoint := c.requests[id], c.endpoints[server]
	switch {
	case tracked == nil || tracked.completed:
		c.t.Errorf("at %v: Send of request %d, which is completed or unknown, to server %d", c.now, id, server)
		return
	case endpoint.State != EndpointReady:
		c.t.Errorf("at %v: Send of request %d to server %d, which is %v, want a ready server",
			c.now, id, server, endpoint.State)
	case len(tracked.attempts) >= c.maxAttempts:
		c.t.Errorf("at %v: Send of request %d after %d attempts, want at most %d attempts",
			c.now, id, len(tracked.attempts), c.maxAttempts)
	}
	c.checkRetryAllowed(id, tracked, endpoint)
	tracked.attempts = append(tracked.attempts, &trackedAttempt{endpoint: endpoint, sentAt: c.now, inFlight: true})
}

// checkRetryAllowed checks that the idempotency of a request permits an attempt at a server after its earlier
// attempts, each of which may have been executed unless its outcome rules that out.
func (c *invariantChecker) checkRetryAllowed(id RequestID, tracked *trackedRequest, endpoint Endpoint) {
	for _, a := range tracked.attempts {
		if a.notExecuted {
			continue
		}
		if tracked.class.Idempotency == NotIdempotent {
			c.t.Errorf("at %v: request %d is sent again, but it is not idempotent and server %d may have executed it",
				c.now, id, a.endpoint.Server)
		}
		keyKnown := a.endpoint.Cell == endpoint.Cell && c.now-a.sentAt < tracked.class.KeyRetention
		if tracked.class.Idempotency == IdempotentWithKey && !keyKnown {
			c.t.Errorf("at %v: request %d is sent again to cell %d, but its key is known only in cell %d from %v for %v",
				c.now, id, endpoint.Cell, a.endpoint.Cell, a.sentAt, tracked.class.KeyRetention)
		}
	}
}

// recordCompletion records the final response of a request and returns the request. It checks that the response is
// in time and that the request had no earlier response.
func (c *invariantChecker) recordCompletion(id RequestID) *trackedRequest {
	c.completions[id]++
	tracked := c.requests[id]
	if tracked == nil || tracked.completed {
		c.t.Errorf("at %v: final response to request %d, which is completed or unknown", c.now, id)
		return &trackedRequest{}
	}
	if c.now > tracked.deadline+maxLateness {
		c.t.Errorf("at %v: request %d completes %v after its deadline, want at most %v",
			c.now, id, c.now-tracked.deadline, maxLateness)
	}
	tracked.completed = true
	return tracked
}

func (c *invariantChecker) Reject(id RequestID, after time.Duration) {
	c.fakeHost.Reject(id, after)
	tracked := c.recordCompletion(id)
	for _, a := range tracked.attempts {
		if !a.notExecuted && tracked.class.Idempotency != Idempotent {
			c.t.Errorf("at %v: Reject of request %d, but it is %v and server %d may have executed it",
				c.now, id, tracked.class.Idempotency, a.endpoint.Server)
		}
	}
}

func (c *invariantChecker) Fail(id RequestID) {
	c.fakeHost.Fail(id)
	c.recordCompletion(id)
}

// endAttempt ends attempt i of a request with a random status. From the deadline on, the status is always
// StatusTimeout, and once the request is completed, it is always StatusCancelled.
func (c *invariantChecker) endAttempt(id RequestID, tracked *trackedRequest, i int) {
	a := tracked.attempts[i]
	status := []Status{
		StatusOK, StatusOK, StatusOK, StatusServerError, StatusRejected, StatusTimeout, StatusConnectFailed, StatusReset,
	}[c.rng.IntN(8)]
	if c.now >= tracked.deadline {
		status = StatusTimeout
	}
	if tracked.completed {
		status = StatusCancelled
	}
	a.inFlight = false
	a.notExecuted = status == StatusRejected || status == StatusConnectFailed
	if status == StatusOK {
		c.recordCompletion(id)
	}
	c.balancer.Outcome(c.now, Outcome{ID: id, Attempt: i, Server: a.endpoint.Server, Status: status,
		Latency: c.now - a.sentAt, RequestCompleted: tracked.completed})
}

// step ends some of the attempts in flight of the given requests, disconnects a few of their clients and runs the
// timers that are due. Attempts end at the deadline or the completion of their request at the latest.
func (c *invariantChecker) step(ids []RequestID) {
	for _, id := range ids {
		tracked := c.requests[id]
		for i, a := range tracked.attempts {
			if a.inFlight && (c.now >= tracked.deadline || tracked.completed || c.rng.IntN(12) == 0) {
				c.endAttempt(id, tracked, i)
			}
		}
		if !tracked.completed && c.rng.IntN(400) == 0 {
			tracked.completed = true
			c.completions[id]++
			c.balancer.ClientDisconnected(c.now, id)
		}
	}
	c.runDueTimers(c.balancer, c.now)
}

// changeRandomEndpoint drains, removes, restarts or adds one of twelve servers.
func (c *invariantChecker) changeRandomEndpoint() {
	id := ServerID(1 + c.rng.IntN(12))
	endpoint := Endpoint{Server: id, Cell: int(id) / 3, Weight: 1, State: EndpointState(c.rng.IntN(3))}
	if c.rng.IntN(3) == 0 {
		endpoint.State, endpoint.StartedAt = EndpointReady, c.now
	}
	c.endpoints[id] = endpoint
	c.balancer.UpdateEndpoints(c.now, UpdateDelta, []Endpoint{endpoint})
}

// newInvariantChecker returns a checker with a Balancer that has eight ready servers, at most three in each cell. The
// seed determines all random choices.
func newInvariantChecker(t *testing.T, seed uint64) *invariantChecker {
	t.Helper()
	settings := testSettings()
	settings.Classes[0].LateFraction = 0.5
	settings.Tenants = []Tenant{{QuotaPerS: 50}}
	c := &invariantChecker{
		fakeHost:    newFakeHost(),
		t:           t,
		rng:         rand.New(rand.NewPCG(seed, 1)),
		classes:     settings.Classes,
		maxAttempts: settings.Limits.MaxAttempts,
		now:         time.Hour,
		requests:    map[RequestID]*trackedRequest{},
		completions: map[RequestID]int{},
		endpoints:   map[ServerID]Endpoint{},
	}
	balancer, err := New(settings, seed, c)
	if err != nil {
		t.Fatalf("New(%+v): %v", settings, err)
	}
	c.balancer = balancer
	entries := readyEndpoints(1, 8)
	for i := range entries {
		entries[i].Cell = int(entries[i].Server) / 3
		c.endpoints[entries[i].Server] = entries[i]
	}
	balancer.UpdateEndpoints(c.now, UpdateCached, entries)
	return c
}

// addRandomRequest makes a request with a random class and timeout arrive.
func (c *invariantChecker) addRandomRequest(id RequestID) {
	class := c.rng.IntN(3)
	timeout := time.Duration(300+c.rng.IntN(1700)) * ms
	c.requests[id] = &trackedRequest{class: c.classes[class], deadline: c.now + timeout}
	c.balancer.Request(c.now, Request{ID: id, Class: class, Timeout: timeout})
}

// checkAllReleased checks that every request completed exactly once, and that the Balancer has released all of them.
func (c *invariantChecker) checkAllReleased(ids []RequestID) {
	c.t.Helper()
	for _, id := range ids {
		if c.completions[id] != 1 {
			c.t.Errorf("completions of request %d: got %d, want 1", id, c.completions[id])
		}
	}
	known, active := len(c.balancer.requests.byID), len(c.balancer.requests.active)
	if known > 0 || active > 0 {
		c.t.Errorf("requests in the Balancer at the end: got %d by ID and %d active, want none", known, active)
	}
}

// runRandomEvents reports random events to a Balancer, checks its actions and returns their log. The seed determines
// all random choices.
func runRandomEvents(t *testing.T, seed uint64) []string {
	t.Helper()
	const steps, stepsWithArrivals = 4000, 3500 // the last steps let the remaining requests end
	c := newInvariantChecker(t, seed)
	var ids []RequestID
	for step := range steps {
		c.now += 5 * ms
		for range c.rng.IntN(4) {
			if step >= stepsWithArrivals {
				break
			}
			id := RequestID(len(ids) + 1)
			ids = append(ids, id)
			c.addRandomRequest(id)
		}
		if c.rng.IntN(60) == 0 {
			c.changeRandomEndpoint()
		}
		c.step(ids)
	}
	c.checkAllReleased(ids)
	return c.log
}

func TestInvariantsHoldUnderRandomEvents(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runRandomEvents(t, seed) })
	}
}

func TestSameEventsAndSeedGiveTheSameActions(t *testing.T) {
	first, second := runRandomEvents(t, 3), runRandomEvents(t, 3)
	if strings.Join(first, "\n") != strings.Join(second, "\n") {
		t.Fatalf("two runs with seed 3 took different actions (%d and %d actions), want the same",
			len(first), len(second))
	}
}

// Guards against state that Balancers share. Two Balancers that get the same events in turn must take the same actions
// as a Balancer that is alone.
func TestInterleavedBalancersActLikeASingleOne(t *testing.T) {
	drive := func(harnesses ...*harness) {
		for i := range 300 {
			for _, h := range harnesses {
				id := h.request(i % 3)
				h.advance(7 * ms)
				if n := len(h.attemptedServers(id)); n > h.outcomesReported[id] {
					h.endAttempt(id, StatusOK, 7*ms)
				}
			}
		}
	}
	alone := newHarness(t, testSettings(), 5)
	first, second := newHarness(t, testSettings(), 5), newHarness(t, testSettings(), 5)
	drive(alone)
	drive(first, second)
	want := strings.Join(alone.host.log, "\n")
	if strings.Join(first.host.log, "\n") != want || strings.Join(second.host.log, "\n") != want {
		t.Fatalf("two interleaved Balancers took %d and %d actions, want exactly the %d actions of a Balancer alone",
			len(first.host.log), len(second.host.log), len(alone.host.log))
	}
}
