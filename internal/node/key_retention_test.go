package node

import (
	"fmt"
	"testing"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/internal/testkit"
	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

// retentionCase describes a request with two attempts. The connection for one of these attempts opens late.
type retentionCase struct {
	class         int
	firstStatus   policy.Status // outcome of the first attempt; StatusCancelled if it is still in flight
	expiresFirst  bool          // the key's retention ends before the late connection opens
	lateAttempt   int           // index of the attempt whose connection opens late
	wantLateSends int           // number of times that the late attempt is sent
}

// After the end of an idempotency key's retention, servers may have discarded the key and would execute the request
// again. An attempt whose connection opens after that end must therefore not be sent if another attempt may have been
// executed. This also applies to the first attempt, if the request has been hedged.
func TestAttemptsRespectTheKeyRetention(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]retentionCase{
		"retry before the end":                    {classPush, policy.StatusServerError, false, 1, 1},
		"retry after the end":                     {classPush, policy.StatusServerError, true, 1, 0},
		"hedged request after the end":            {classPush, policy.StatusCancelled, true, 1, 0},
		"first attempt after the end, hedged":     {classPush, policy.StatusCancelled, true, 0, 0},
		"retry after the end, first not executed": {classPush, policy.StatusRejected, true, 1, 1},
		"retry after the end, idempotent class":   {classRead, policy.StatusServerError, true, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testKeyRetention(t, c)
		})
	}
}

// activateWithoutBalancer activates a request that the balancer does not know, so that the test makes its decisions. It
// must run in the loop's goroutine.
func (l *testLoop) activateWithoutBalancer(r *request) {
	const id = 1000 // far from the IDs of requests that are submitted
	r.completion = make(chan completion, 1)
	r.deadlineTimer = time.NewTimer(time.Hour)
	r.activate(id)
	l.requests.add(r)
}

func testKeyRetention(t *testing.T, c retentionCase) {
	t.Helper()
	fullAcceptQueue := testkit.NewFullAcceptQueueServer(t)
	unresponsive := testkit.NewRecordingServer(t, testkit.Unresponsive(make(chan struct{}, 1)))
	l := startLoopWith(t, func(pool *upstream.Config) { pool.ConnectTimeout = testkit.WaitTimeout },
		fullAcceptQueue.Endpoint("late"), unresponsive.Endpoint("unresponsive"))
	retention := l.host.classes[classPush].KeyRetention
	servers := []policy.ServerID{endpoint.ServerID("unresponsive"), endpoint.ServerID("unresponsive")}
	servers[c.lateAttempt] = endpoint.ServerID("late")
	r := l.newRequest(c.class, neverDisconnected)

	l.runInLoop(func() {
		l.activateWithoutBalancer(r)
		l.host.Send(r.id, servers[0], 0)
		if c.firstStatus != policy.StatusCancelled {
			l.reportOutcome(l.clock.now(), r, 0, upstream.Result{Status: c.firstStatus})
		}
		if c.expiresFirst {
			r.attempts[0].startedAt += 20*time.Millisecond - retention // the retention ends in 20 ms
		}
		l.host.Send(r.id, servers[1], 0)
	})
	testkit.WaitUntil(t, "the end of the key's retention", func() bool { // the late connection must open after that end
		return !c.expiresFirst || l.clock.now() >= r.attempts[0].startedAt+retention
	})
	sent := fullAcceptQueue.AcceptAll()

	description := fmt.Sprintf("the outcome of attempt %d", c.lateAttempt)
	l.awaitInLoop(description, func() bool { return r.attempts[c.lateAttempt].state != attemptInFlight })
	if len(sent) != c.wantLateSends {
		t.Errorf("number of times that attempt %d was sent: got %d, want %d", c.lateAttempt, len(sent), c.wantLateSends)
	}
}

// retentionEnd is a request at the end of its key's retention: its first attempt has not reached its server as a whole.
type retentionEnd struct {
	secondStatus   policy.Status // outcome of the second attempt; StatusCancelled if it is still in flight
	wantFirstState attemptState
}

// Guards against a request that is executed again because the rest of an attempt, which waits in this machine's system,
// reaches its server after the end of the key's retention, when another attempt may have been executed.
func TestUndeliveredAttemptIsWithdrawnAtTheEndOfTheKeyRetention(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]retentionEnd{
		"second attempt in flight":    {policy.StatusCancelled, attemptPossiblyExecuted},
		"second attempt failed":       {policy.StatusServerError, attemptPossiblyExecuted},
		"second attempt not executed": {policy.StatusRejected, attemptInFlight},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testRetentionEnd(t, c)
		})
	}
}

func testRetentionEnd(t *testing.T, c retentionEnd) {
	t.Helper()
	stalled := testkit.NewStalledServer(t)
	unresponsive := testkit.NewRecordingServer(t, testkit.Unresponsive(make(chan struct{}, 1)))
	l := startLoop(t, stalled.Endpoint("stalled"), unresponsive.Endpoint("unresponsive"))
	r := l.newRequest(classPush, neverDisconnected)
	r.Body = make([]byte, testkit.StalledBody)
	l.runInLoop(func() {
		l.activateWithoutBalancer(r)
		l.host.Send(r.id, endpoint.ServerID("stalled"), 0)
	})
	conn := stalled.AwaitWritten(t)
	l.runInLoop(func() { l.host.Send(r.id, endpoint.ServerID("unresponsive"), 0) })
	l.awaitInLoop("the second attempt to be sent", func() bool { return r.attempts[1].call.Sent() })
	ended := make(chan struct{})
	l.runInLoop(func() {
		if c.secondStatus != policy.StatusCancelled {
			l.reportOutcome(l.clock.now(), r, 1, upstream.Result{Status: c.secondStatus})
		}
		r.attempts[0].startedAt = l.clock.now() + 20*time.Millisecond - l.host.classes[classPush].KeyRetention
		l.host.limitToKeyRetention(r, 1) // the retention ends in 20 ms
		time.AfterFunc(20*time.Millisecond, func() { close(ended) })
	})
	testkit.Receive(t, ended, "the end of the retention")

	if c.wantFirstState == attemptInFlight {
		l.runInLoop(func() { l.expireKeyRetention(l.clock.now(), r) })
	}
	l.awaitInLoop("the wanted state of the first attempt", func() bool { return r.attempts[0].state == c.wantFirstState })
	if c.wantFirstState == attemptInFlight {
		return
	}
	if received := testkit.CountReceived(t, conn); received >= testkit.StalledBody {
		t.Errorf("bytes that reached the server: got %d, want less than the body's %d", received, testkit.StalledBody)
	}
}
