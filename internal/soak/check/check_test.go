package check

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"calicohinge/internal/soak/history"
	"calicohinge/internal/soak/scenario"
)

// testRun is a run of a minute with one node and two servers.
type testRun struct {
	Run
	node      *history.Incarnation
	server    *history.Server // listed all the time
	delisted  *history.Server // removed by generation 2, which is published as the run begins
	startTime time.Time
}

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

// request records a request that was sent as the run began, with attempts.
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

// attempt returns an attempt at a server, some time after the run began.
func (r *testRun) attempt(server *history.Server, after time.Duration) history.Attempt {
	return history.Attempt{Server: server, At: r.startTime.Add(after), Timeout: time.Second}
}

// The drain grace of the run is one second, the notification deadline six.
func TestInvalidAttemptsAreReported(t *testing.T) {
	const drainLimit = 7*time.Second + socketSlack + pauseSlack
	for name, c := range map[string]struct {
		record   func(r *testRun)
		wantRule string // the rule; empty: none is broken
	}{
		"to a ready server": {func(r *testRun) { r.request(scenario.EffectPure, r.attempt(r.server, drainLimit+time.Second)) }, ""},
		"to a removed server in time": {func(r *testRun) {
			r.request(scenario.EffectPure, r.attempt(r.delisted, drainLimit-10*time.Millisecond))
		}, ""},
		"to a removed server after the notification deadline": {func(r *testRun) {
			r.request(scenario.EffectPure, r.attempt(r.delisted, drainLimit+10*time.Millisecond))
		}, "drain"},
		"to a removed server after the delivery of its removal": {func(r *testRun) {
			r.node.RecordDelivery(2)
			r.request(scenario.EffectPure, r.attempt(r.delisted, 2*time.Second))
		}, "drain"},
		"to a removed server after a reload": {func(r *testRun) {
			r.node.RecordReload()
			r.request(scenario.EffectPure, r.attempt(r.delisted, 6*time.Second))
		}, "drain"},
		"with the time that is left": {func(r *testRun) {
			r.request(scenario.EffectPure, r.attempt(r.server, time.Second)).Timeout = 2 * time.Second
		}, ""},
		"with more time than is left": {func(r *testRun) {
			r.request(scenario.EffectPure, r.attempt(r.server, 1200*time.Millisecond)).Timeout = 2 * time.Second
		}, "deadline"},
		"with more time than is left, by a pause of the node": {func(r *testRun) {
			r.node.RecordLogLine("paused for 210ms")
			r.request(scenario.EffectPure, r.attempt(r.server, 200*time.Millisecond)).Timeout = time.Second
		}, ""},
		"with more time than is left, by more than a pause of the node": {func(r *testRun) {
			r.node.RecordLogLine("paused for 190ms")
			r.request(scenario.EffectPure, r.attempt(r.server, 200*time.Millisecond)).Timeout = time.Second
		}, "deadline"},
		"with more time than is left, long after a pause of the node": {func(r *testRun) {
			r.node.RecordLogLine("paused for 210ms")
			r.request(scenario.EffectPure, r.attempt(r.server, time.Second)).Timeout = 1800 * time.Millisecond
		}, "deadline"},
		"just after a disconnection": {func(r *testRun) {
			r.request(scenario.EffectPure, r.attempt(r.server, time.Second)).DisconnectedAt = r.startTime.Add(950 * time.Millisecond)
		}, ""},
		"after a disconnection": {func(r *testRun) {
			r.request(scenario.EffectPure, r.attempt(r.server, time.Second)).DisconnectedAt = r.startTime.Add(850 * time.Millisecond)
		}, "disconnect"},
		"retry of an idempotent request": {func(r *testRun) {
			r.request(scenario.EffectPure, r.attempt(r.server, 0), r.attempt(r.server, time.Second))
		}, ""},
		"retry of a request with side effects": {func(r *testRun) {
			r.request(scenario.EffectSideEffect, r.attempt(r.server, 0), r.attempt(r.server, time.Millisecond))
		}, "duplicate"},
		"retry of one with side effects that was not executed": {func(r *testRun) {
			first := r.attempt(r.server, 0)
			first.NotExecuted = true
			r.request(scenario.EffectSideEffect, first, r.attempt(r.server, time.Millisecond))
		}, ""},
		"retry within the retention of the key": {func(r *testRun) {
			r.request(scenario.EffectToken, r.attempt(r.server, 0), r.attempt(r.server, 400*time.Millisecond))
		}, ""},
		"retry after the retention of the key": {func(r *testRun) {
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
	const warmRate = 100 // requests a second to each server from the start
	for name, c := range map[string]struct {
		arrivals int // in the first second of the new server
		wantRule string
	}{
		"a share that grows":                     {60, ""},
		"the share of a warm server, twice over": {200, "slow start"},
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

// expectViolation checks that one violation of a rule was found, or none if the rule is empty.
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
		t.Errorf("violations of %q, want %q", rules, want)
	}
}
