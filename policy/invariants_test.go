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
	t              *testing.T
	rng            *rand.Rand
	balancer       *Balancer
	classes        []Class
	maxAttempts    int
	now            time.Duration
	requests       map[RequestID]*checkedRequest
	finalResponses map[RequestID]int
	endpoints      map[ServerID]Endpoint
}

// maxLateness is the time after its deadline at which a request is completed at the latest.
const maxLateness = 20 * ms

// checkedRequest is a request as the checker knows it.
type checkedRequest struct {
	class     Class
	deadline  time.Duration
	attempts  []*checkedAttempt
	completed bool
}

type checkedAttempt struct {
	server      Endpoint
	sentAt      time.Duration
	inFlight    bool
	notExecuted bool
}

func (c *invariantChecker) Send(id RequestID, server ServerID, timeout time.Duration) {
	c.fakeHost.Send(id, server, timeout)
	checked, s := c.requests[id], c.endpoints[server]
	switch {
	case checked == nil || checked.completed:
		c.t.Errorf("%v: sent request %d, which is completed", c.now, id)
		return
	case s.State != Ready:
		c.t.Errorf("%v: sent request %d to server %d in state %v", c.now, id, server, s.State)
	case len(checked.attempts) >= c.maxAttempts:
		c.t.Errorf("%v: request %d has too many attempts", c.now, id)
	}
	c.checkRepetition(id, checked, s)
	checked.attempts = append(checked.attempts, &checkedAttempt{server: s, sentAt: c.now, inFlight: true})
}

// checkRepetition checks that a request may be sent to a server after the attempts that it has had.
func (c *invariantChecker) checkRepetition(id RequestID, checked *checkedRequest, s Endpoint) {
	for _, a := range checked.attempts {
		if a.notExecuted {
			continue
		}
		if checked.class.Idempotency == NotIdempotent {
			c.t.Errorf("%v: request %d, not idempotent, sent again though it may have been executed", c.now, id)
		}
		keyKnown := a.server.Cell == s.Cell && c.now-a.sentAt < checked.class.KeyRetention
		if checked.class.Idempotency == IdempotentWithKey && !keyKnown {
			c.t.Errorf("%v: request %d retried where or when its key is not known", c.now, id)
		}
	}
}

// recordFinalResponse checks that a request gets its only final response in time. It returns the request.
func (c *invariantChecker) recordFinalResponse(id RequestID) *checkedRequest {
	c.finalResponses[id]++
	checked := c.requests[id]
	if checked == nil || checked.completed {
		c.t.Errorf("%v: request %d completed twice", c.now, id)
		return &checkedRequest{}
	}
	if c.now > checked.deadline+maxLateness {
		c.t.Errorf("%v: request %d completed after its deadline at %v", c.now, id, checked.deadline)
	}
	checked.completed = true
	return checked
}

func (c *invariantChecker) Reject(id RequestID, after time.Duration) {
	c.fakeHost.Reject(id, after)
	checked := c.recordFinalResponse(id)
	for _, a := range checked.attempts {
		if !a.notExecuted && checked.class.Idempotency != Idempotent {
			c.t.Errorf("%v: request %d rejected though it may have been executed", c.now, id)
		}
	}
}

func (c *invariantChecker) Fail(id RequestID) {
	c.fakeHost.Fail(id)
	c.recordFinalResponse(id)
}

// endAttempt ends attempt i of a request with a random status. The status is Timeout from the deadline on, and
// Cancelled if the request is completed.
func (c *invariantChecker) endAttempt(id RequestID, checked *checkedRequest, i int) {
	a := checked.attempts[i]
	status := []Status{OK, OK, OK, ServerError, Rejected, Timeout, ConnectFailed, Reset}[c.rng.IntN(8)]
	if c.now >= checked.deadline {
		status = Timeout
	}
	if checked.completed {
		status = Cancelled
	}
	a.inFlight = false
	a.notExecuted = status == Rejected || status == ConnectFailed
	if status == OK {
		c.recordFinalResponse(id)
	}
	c.balancer.Outcome(c.now, Outcome{ID: id, Attempt: i, Server: a.server.Server, Status: status,
		Latency: c.now - a.sentAt, RequestCompleted: checked.completed})
}

// step ends some attempts, disconnects a few clients and runs the timers that are due.
func (c *invariantChecker) step(ids []RequestID) {
	for _, id := range ids {
		checked := c.requests[id]
		for i, a := range checked.attempts {
			if a.inFlight && (c.now >= checked.deadline || checked.completed || c.rng.IntN(12) == 0) {
				c.endAttempt(id, checked, i)
			}
		}
		if !checked.completed && c.rng.IntN(400) == 0 {
			checked.completed = true
			c.finalResponses[id]++
			c.balancer.ClientDisconnected(c.now, id)
		}
	}
	c.runDueTimers(c.balancer, c.now)
}

// changeEndpoint drains, removes, restarts or adds a server.
func (c *invariantChecker) changeEndpoint() {
	id := ServerID(1 + c.rng.IntN(12))
	e := Endpoint{Server: id, Cell: int(id) / 3, Weight: 1, State: EndpointState(c.rng.IntN(3))}
	if c.rng.IntN(3) == 0 {
		e.State, e.StartedAt = Ready, c.now
	}
	c.endpoints[id] = e
	c.balancer.UpdateEndpoints(c.now, UpdateDelta, []Endpoint{e})
}

// newInvariantChecker starts a Balancer with eight servers.
func newInvariantChecker(t *testing.T, seed uint64) *invariantChecker {
	t.Helper()
	settings := testSettings()
	settings.Classes[0].LateFraction = 0.5
	settings.Tenants = []Tenant{{QuotaPerS: 50}}
	c := &invariantChecker{
		fakeHost:       newFakeHost(),
		t:              t,
		rng:            rand.New(rand.NewPCG(seed, 1)),
		classes:        settings.Classes,
		maxAttempts:    settings.Limits.MaxAttempts,
		now:            time.Hour,
		requests:       map[RequestID]*checkedRequest{},
		finalResponses: map[RequestID]int{},
		endpoints:      map[ServerID]Endpoint{},
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

// arrive sends a request of a random class and timeout.
func (c *invariantChecker) arrive(id RequestID) {
	class := c.rng.IntN(3)
	timeout := time.Duration(300+c.rng.IntN(1700)) * ms
	c.requests[id] = &checkedRequest{class: c.classes[class], deadline: c.now + timeout}
	c.balancer.Request(c.now, Request{ID: id, Class: class, Timeout: timeout})
}

// checkEnd checks that every request got one final response, and that none is known any more.
func (c *invariantChecker) checkEnd(ids []RequestID) {
	c.t.Helper()
	for _, id := range ids {
		if c.finalResponses[id] != 1 {
			c.t.Errorf("request %d got %d final responses", id, c.finalResponses[id])
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
			c.arrive(id)
		}
		if c.rng.IntN(60) == 0 {
			c.changeEndpoint()
		}
		c.step(ids)
	}
	c.checkEnd(ids)
	return c.log
}

func TestInvariantsHoldUnderRandomEvents(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomEvents(t, seed) })
	}
}

func TestSameEventsAndSeedGiveTheSameActions(t *testing.T) {
	one, two := runRandomEvents(t, 3), runRandomEvents(t, 3)
	if strings.Join(one, "\n") != strings.Join(two, "\n") {
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
