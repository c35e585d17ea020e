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

// retentionCase is a request with two attempts, one of which gets its connection late.
type retentionCase struct {
	class         int
	firstStatus   policy.Status // of the first attempt, Cancelled for one that is still in flight
	expiresFirst  bool          // the retention ends before the late connection is open
	lateAttempt   int           // the index of the attempt whose connection is open late
	wantLateSends int           // of that attempt
}

// The connection of an attempt is open before or after the end of the key's retention. After the end, no attempt of
// the request is written if another one may have been executed. This holds for the first attempt as well.
func TestRepeatsStayWithinTheKeyRetention(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]retentionCase{
		"a repeat in time":                    {classPush, policy.ServerError, false, 1, 1},
		"a repeat too late":                   {classPush, policy.ServerError, true, 1, 0},
		"a hedged request too late":           {classPush, policy.Cancelled, true, 1, 0},
		"the first one, too late for a hedge": {classPush, policy.Cancelled, true, 0, 0},
		"behind one that was not executed":    {classPush, policy.Rejected, true, 1, 1},
		"of an idempotent class":              {classRead, policy.ServerError, true, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testKeyRetention(t, c)
		})
	}
}

func testKeyRetention(t *testing.T, c retentionCase) {
	t.Helper()
	stuck, unresponsive := testkit.NewStuckServer(t), testkit.NewBackend(t, testkit.Unresponsive(make(chan struct{}, 1)))
	l := startLoopWith(t, func(pool *upstream.Config) { pool.ConnectTimeout = testkit.WaitTimeout },
		stuck.Endpoint("late"), unresponsive.Endpoint("unresponsive"))
	retention := l.host.classes[classPush].KeyRetention
	servers := []policy.ServerID{endpoint.IDOf("unresponsive"), endpoint.IDOf("unresponsive")}
	servers[c.lateAttempt] = endpoint.IDOf("late")
	r := l.newRequest(c.class, staysConnected)
	r.completion = make(chan completion, 1)
	r.deadlineTimer = time.NewTimer(time.Hour)

	l.runInLoop(func() {
		r.activate(1000)
		l.requests.add(r)
		l.host.Send(r.id, servers[0], 0)
		if c.firstStatus != policy.Cancelled {
			l.reportOutcome(l.clock.now(), r, 0, upstream.Result{Status: c.firstStatus})
		}
		if c.expiresFirst {
			r.attempts[0].startedAt += 20*time.Millisecond - retention
		}
		l.host.Send(r.id, servers[1], 0)
	})
	testkit.Until(t, "the end of the key's retention", func() bool { // which is under test
		return !c.expiresFirst || l.clock.now() >= r.attempts[0].startedAt+retention
	})
	sent := stuck.Admit()

	description := fmt.Sprintf("the outcome of attempt %d", c.lateAttempt)
	l.awaitInLoop(description, func() bool { return r.attempts[c.lateAttempt].state != attemptInFlight })
	if len(sent) != c.wantLateSends {
		t.Errorf("attempt %d was sent %d times, want %d", c.lateAttempt, len(sent), c.wantLateSends)
	}
}
