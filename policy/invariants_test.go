package policy

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// invariantChecker generates random events for one Balancer and checks each action: one final response in time,
// no execution against the idempotency, no send to a server that is not ready, no attempt beyond the limit.
type invariantChecker struct {
	*fakeHost
	t           *testing.T
	rng         *rand.Rand
	balancer    *Balancer
	classes     []Class
	maxAttempts int
	now         time.Duration
	requests    map[RequestID]*trackedRequest
	completions map[RequestID]int
	endpoints   map[ServerID]Endpoint
}

// maxLateness is the time after its deadline at which a request is completed at the latest.
const maxLateness = 20 * ms

// trackedRequest is a request as the checker knows it.
type trackedRequest struct {
	class     Class
	deadline  time.Duration
	attempts  []*trackedAttempt
	completed bool
}

type trackedAttempt struct {
	endpoint    Endpoint
	sentAt      time.Duration
	inFlight    bool
	notExecuted bool
}

func (c *invariantChecker) Send(id RequestID, server ServerID, timeout time.Duration) {
	c.fakeHost.Send(id, server, timeout)
	tracked, endpoint := c.requests[id], c.endpoints[server]
	switch {
	case tracked == nil || tracked.completed:
		c.t.Errorf("%v: sent request %d, which is completed", c.now, id)
		return
	case endpoint.State != Ready:
		c.t.Errorf("%v: sent request %d to server %d in state %v", c.now, id, server, endpoint.State)
	case len(tracked.attempts) >= c.maxAttempts:
		c.t.Errorf("%v: request %d has too many attempts", c.now, id)
	}
	c.checkRetryAllowed(id, tracked, endpoint)
	tracked.attempts = append(tracked.attempts, &trackedAttempt{endpoint: endpoint, sentAt: c.now, inFlight: true})
}

// checkRetryAllowed checks that a request may be sent to a server after the attempts that it has had.
func (c *invariantChecker) checkRetryAllowed(id RequestID, tracked *trackedRequest, endpoint Endpoint) {
	for _, a := range tracked.attempts {
		if a.notExecuted {
			continue
		}
		if tracked.class.Idempotency == NotIdempotent {
			c.t.Errorf("%v: request %d, not idempotent, sent again though it may have been executed", c.now, id)
		}
		keyKnown := a.endpoint.Cell == endpoint.Cell && c.now-a.sentAt < tracked.class.KeyRetention
		if tracked.class.Idempotency == IdempotentWithKey && !keyKnown {
			c.t.Errorf("%v: request %d retried where or when its key is not known", c.now, id)
		}
	}
}

// recordCompletion checks that a request gets its only final response in time. It returns the request.
func (c *invariantChecker) recordCompletion(id RequestID) *trackedRequest {
	c.completions[id]++
	tracked := c.requests[id]
	if tracked == nil || tracked.completed {
		c.t.Errorf("%v: request %d completed twice", c.now, id)
		return &trackedRequest{}
	}
	if c.now > tracked.deadline+maxLateness {
		c.t.Errorf("%v: request %d completed after its deadline at %v", c.now, id, tracked.deadline)
	}
	tracked.completed = true
	return tracked
}

func (c *invariantChecker) Reject(id RequestID, after time.Duration) {
	c.fakeHost.Reject(id, after)
	tracked := c.recordCompletion(id)
	for _, a := range tracked.attempts {
		if !a.notExecuted && tracked.class.Idempotency != Idempotent {
			c.t.Errorf("%v: request %d rejected though it may have been executed", c.now, id)
		}
	}
}

func (c *invariantChecker) Fail(id RequestID) {
	c.fakeHost.Fail(id)
	c.recordCompletion(id)
}

// endAttempt ends attempt i of a request with a random status. The status is Timeout from the deadline on, and
// Cancelled if the request is completed.
func (c *invariantChecker) endAttempt(id RequestID, tracked *trackedRequest, i int) {
	a := tracked.attempts[i]
	status := []Status{OK, OK, OK, ServerError, Rejected, Timeout, ConnectFailed, Reset}[c.rng.IntN(8)]
	if c.now >= tracked.deadline {
		status = Timeout
	}
	if tracked.completed {
		status = Cancelled
	}
	a.inFlight = false
	a.notExecuted = status == Rejected || status == ConnectFailed
	if status == OK {
		c.recordCompletion(id)
	}
	c.balancer.Outcome(c.now, Outcome{ID: id, Attempt: i, Server: a.endpoint.Server, Status: status,
		Latency: c.now - a.sentAt, RequestCompleted: tracked.completed})
}

// step ends some attempts, disconnects a few clients and runs the timers that are due.
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

// changeRandomEndpoint drains, removes, restarts or adds a server.
func (c *invariantChecker) changeRandomEndpoint() {
	id := ServerID(1 + c.rng.IntN(12))
	endpoint := Endpoint{Server: id, Cell: int(id) / 3, Weight: 1, State: EndpointState(c.rng.IntN(3))}
	if c.rng.IntN(3) == 0 {
		endpoint.State, endpoint.StartedAt = Ready, c.now
	}
	c.endpoints[id] = endpoint
	c.balancer.UpdateEndpoints(c.now, UpdateDelta, []Endpoint{endpoint})
}

// newInvariantChecker starts a Balancer with eight servers.
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
		t.Fatal(err)
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

// addRandomRequest sends a request of a random class and timeout.
func (c *invariantChecker) addRandomRequest(id RequestID) {
	class := c.rng.IntN(3)
	timeout := time.Duration(300+c.rng.IntN(1700)) * ms
	c.requests[id] = &trackedRequest{class: c.classes[class], deadline: c.now + timeout}
	c.balancer.Request(c.now, Request{ID: id, Class: class, Timeout: timeout})
}

// checkAllReleased checks that every request got one final response, and that none is known any more.
func (c *invariantChecker) checkAllReleased(ids []RequestID) {
	c.t.Helper()
	for _, id := range ids {
		if c.completions[id] != 1 {
			c.t.Errorf("request %d got %d final responses", id, c.completions[id])
		}
	}
	known, active := len(c.balancer.requests.byID), len(c.balancer.requests.active)
	if known > 0 || active > 0 {
		c.t.Errorf("%d requests and %d active ones known at the end", known, active)
	}
}

// runRandomEvents returns the log of the actions.
func runRandomEvents(t *testing.T, seed uint64) []string {
	t.Helper()
	const steps, stepsWithArrivals = 4000, 3500 // then the requests end
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
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomEvents(t, seed) })
	}
}

func TestSameEventsAndSeedGiveTheSameActions(t *testing.T) {
	first, second := runRandomEvents(t, 3), runRandomEvents(t, 3)
	if strings.Join(first, "\n") != strings.Join(second, "\n") {
		t.Fatal("two runs of the same events differ")
	}
}

func TestInterleavedInstancesActAsEachAlone(t *testing.T) {
	drive := func(harnesses ...*harness) {
		for i := range 300 {
			for _, h := range harnesses {
				id := h.request(i % 3)
				h.advance(7 * ms)
				if n := len(h.attemptedServers(id)); n > h.outcomesReported[id] {
					h.endAttempt(id, OK, 7*ms)
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
		t.Fatal("instances that take turns act unlike one alone")
	}
}
