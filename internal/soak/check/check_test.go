package check

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"calicohinge/internal/soak/history"
	"calicohinge/internal/soak/scenario"
)

// testRun is a run of one minute with one node and two servers.
type testRun struct {
	Run
	node      *history.Incarnation
	server    *history.Server // ready during the whole run
	delisted  *history.Server // removed in generation 2, which is published when the run starts
	startTime time.Time
}

// newTestRun returns a run without requests.
func newTestRun() *testRun {
	scenario := scenario.Generate(1)
	r := &testRun{
		Run:      Run{Settings: &scenario.Settings, History: history.New(&history.SchedulingLag{})},
		server:   &history.Server{ID: "s-0"},
		delisted: &history.Server{ID: "s-1"},
	}
	r.History.AddServer(r.server)
	r.History.AddServer(r.delisted)
	r.History.Discovery.RecordGeneration()
	r.History.Discovery.RecordGeneration()
	r.delisted.DelistedGeneration.Store(2)
	r.startTime = time.Now()
	r.node = &history.Incarnation{Name: "n0.0", StartedAt: r.startTime}
	r.EndedAt = r.startTime.Add(time.Minute)
	return r
}

// request records a request that was sent at the start of the run, with the given attempts.
func (r *testRun) request(effect scenario.Effect, attempts ...history.Attempt) *history.Request {
	request := &history.Request{
		ID: fmt.Sprint("r", len(r.History.Requests())), Incarnation: r.node, Timeout: time.Hour,
		Class: scenario.Class{Name: "class", Effect: effect, KeyRetention: 400 * time.Millisecond},
	}
	r.History.RecordRequest(request)
	request.SentAt = r.startTime
	for _, attempt := range attempts {
		r.History.RecordAttempt(request.ID, attempt)
	}
	return request
}

// attempt returns an attempt that arrives at a server at the given time after the start of the run.
func (r *testRun) attempt(server *history.Server, after time.Duration) history.Attempt {
	return history.Attempt{Server: server, At: r.startTime.Add(after), Timeout: time.Second}
}

// Each case records a request with attempts and expects the violation of one rule, or none.
func TestInvalidAttemptsAreReported(t *testing.T) {
	// The sum of the notification deadline (6 s), the drain grace (1 s) and the tolerances.
	const drainLimit = 7*time.Second + socketSlack + pauseSlack
	for name, c := range map[string]struct {
		record   func(r *testRun)
		wantRule string // the violated rule; empty: none
	}{
		"to a ready server": {func(r *testRun) {
			r.request(scenario.EffectPure, r.attempt(r.server, drainLimit+time.Second))
		}, ""},
		"to a removed server within the drain grace": {func(r *testRun) {
			r.request(scenario.EffectPure, r.attempt(r.delisted, drainLimit-10*time.Millisecond))
		}, ""},
		"to a removed server after the notification deadline and the drain grace": {func(r *testRun) {
			r.request(scenario.EffectPure, r.attempt(r.delisted, drainLimit+10*time.Millisecond))
		}, "drain"},
		"to a removed server after the delivery of its removal and the drain grace": {func(r *testRun) {
			r.node.RecordDelivery(2)
			r.request(scenario.EffectPure, r.attempt(r.delisted, 2*time.Second))
		}, "drain"},
		"to a removed server after a reload and the drain grace": {func(r *testRun) {
			r.node.RecordReload()
			r.request(scenario.EffectPure, r.attempt(r.delisted, 6*time.Second))
		}, "drain"},
		"with the time until the deadline": {func(r *testRun) {
			r.request(scenario.EffectPure, r.attempt(r.server, time.Second)).Timeout = 2 * time.Second
		}, ""},
		"with more than the time until the deadline": {func(r *testRun) {
			r.request(scenario.EffectPure, r.attempt(r.server, 1200*time.Millisecond)).Timeout = 2 * time.Second
		}, "deadline"},
		"with excess time shorter than a pause of the node": {func(r *testRun) {
			r.node.RecordLogLine("paused for 210ms")
			r.request(scenario.EffectPure, r.attempt(r.server, 200*time.Millisecond)).Timeout = time.Second
		}, ""},
		"with excess time longer than a pause of the node": {func(r *testRun) {
			r.node.RecordLogLine("paused for 190ms")
			r.request(scenario.EffectPure, r.attempt(r.server, 200*time.Millisecond)).Timeout = time.Second
		}, "deadline"},
		"with excess time long after a pause of the node": {func(r *testRun) {
			r.node.RecordLogLine("paused for 210ms")
			r.request(scenario.EffectPure, r.attempt(r.server, time.Second)).Timeout = 1800 * time.Millisecond
		}, "deadline"},
		"50 ms after the client disconnected": {func(r *testRun) {
			request := r.request(scenario.EffectPure, r.attempt(r.server, time.Second))
			request.DisconnectedAt = r.startTime.Add(950 * time.Millisecond)
		}, ""},
		"150 ms after the client disconnected": {func(r *testRun) {
			request := r.request(scenario.EffectPure, r.attempt(r.server, time.Second))
			request.DisconnectedAt = r.startTime.Add(850 * time.Millisecond)
		}, "disconnect"},
		"retry of an idempotent request": {func(r *testRun) {
			r.request(scenario.EffectPure, r.attempt(r.server, 0), r.attempt(r.server, time.Second))
		}, ""},
		"retry of a request with side effects": {func(r *testRun) {
			r.request(scenario.EffectSideEffect, r.attempt(r.server, 0), r.attempt(r.server, time.Millisecond))
		}, "duplicate"},
		"retry of a request with side effects that was not executed": {func(r *testRun) {
			first := r.attempt(r.server, 0)
			first.NotExecuted = true
			r.request(scenario.EffectSideEffect, first, r.attempt(r.server, time.Millisecond))
		}, ""},
		"retry within the key retention": {func(r *testRun) {
			r.request(scenario.EffectToken, r.attempt(r.server, 0), r.attempt(r.server, 400*time.Millisecond))
		}, ""},
		"retry after the key retention": {func(r *testRun) {
			r.request(scenario.EffectToken, r.attempt(r.server, 0), r.attempt(r.server, 401*time.Millisecond))
		}, "duplicate"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRun()
			c.record(r)
			expectViolation(t, All(r.Run), c.wantRule)
		})
	}
}

func TestOverloadDuringWarmUpIsReported(t *testing.T) {
	const warmRate = 100 // requests in the first second to the server that is warm
	for name, c := range map[string]struct {
		arrivals int // requests in the first second to the server that is warming up
		wantRule string
	}{
		"within the allowed rate":         {60, ""},
		"twice the rate of a warm server": {200, "slow start"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRun()
			joined := &history.Server{ID: "new-1", JoinedAt: r.startTime}
			r.History.AddServer(joined)
			for i := range warmRate {
				r.server.RecordArrival(r.startTime.Add(time.Duration(i) * time.Second / warmRate))
			}
			for i := range c.arrivals {
				joined.RecordArrival(r.startTime.Add(time.Duration(i) * time.Second / time.Duration(c.arrivals)))
			}
			expectViolation(t, All(r.Run), c.wantRule)
		})
	}
}

// expectViolation checks that All returned exactly one violation, of the given rule, or none if the rule is empty.
func expectViolation(t *testing.T, got []history.Violation, rule string) {
	t.Helper()
	var rules, want []string
	for _, violation := range got {
		rules = append(rules, violation.Rule)
	}
	if rule != "" {
		want = []string{rule}
	}
	if !slices.Equal(rules, want) {
		t.Errorf("All returned violations of the rules %q, want %q", rules, want)
	}
}
