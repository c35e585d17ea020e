package check

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"calicohinge/internal/soak/history"
	"calicohinge/internal/soak/scenario"
)

// run is a run of a minute with one node and two servers.
type run struct {
	Run
	node     *history.Incarnation
	server   *history.Server // listed all the time
	delisted *history.Server // removed by generation 2, which is published as the run begins
	began    time.Time
}

func newRun() *run {
	scenario := scenario.Generate(1)
	r := &run{
		Run:      Run{Settings: &scenario.Settings, History: history.New(&history.SchedulingLag{})},
		server:   &history.Server{ID: "s-0"},
		delisted: &history.Server{ID: "s-1"},
	}
	r.History.AddServer(r.server)
	r.History.AddServer(r.delisted)
	r.History.Discovery.Published()
	r.History.Discovery.Published()
	r.delisted.DelistedIn.Store(2)
	r.began = time.Now()
	r.node = &history.Incarnation{Name: "n0.0", StartedAt: r.began}
	r.EndedAt = r.began.Add(time.Minute)
	return r
}

// request records a request that was sent as the run began, with attempts.
func (r *run) request(effect scenario.Effect, attempts ...history.Attempt) *history.Request {
	request := &history.Request{
		ID: fmt.Sprint("r", len(r.History.Requests())), Incarnation: r.node, Timeout: time.Hour,
		Class: scenario.Class{Name: "class", Effect: effect, KeyRetention: 400 * time.Millisecond},
	}
	r.History.RequestSent(request)
	request.SentAt = r.began
	for _, attempt := range attempts {
		r.History.AttemptArrived(request.ID, attempt)
	}
	return request
}

// attempt returns an attempt at a server, some time after the run began.
func (r *run) attempt(server *history.Server, after time.Duration) history.Attempt {
	return history.Attempt{Server: server, At: r.began.Add(after), Timeout: time.Second}
}

// The drain grace of the run is one second, the notification deadline six.
func TestAttemptsThatBreakARuleAreReported(t *testing.T) {
	const drainLimit = 7*time.Second + ruleSlack + pauseSlack
	for name, c := range map[string]struct {
		happen func(r *run)
		want   string // the rule; empty: none is broken
	}{
		"to a ready server": {func(r *run) { r.request(scenario.EffectPure, r.attempt(r.server, drainLimit+time.Second)) }, ""},
		"to a removed server in time": {func(r *run) {
			r.request(scenario.EffectPure, r.attempt(r.delisted, drainLimit-10*time.Millisecond))
		}, ""},
		"to a removed server after the notification deadline": {func(r *run) {
			r.request(scenario.EffectPure, r.attempt(r.delisted, drainLimit+10*time.Millisecond))
		}, "drain"},
		"to a removed server after the delivery of its removal": {func(r *run) {
			r.node.ListDelivered(2)
			r.request(scenario.EffectPure, r.attempt(r.delisted, 2*time.Second))
		}, "drain"},
		"to a removed server after a reload": {func(r *run) {
			r.node.Reloads()
			r.request(scenario.EffectPure, r.attempt(r.delisted, 6*time.Second))
		}, "drain"},
		"with the time that is left": {func(r *run) {
			r.request(scenario.EffectPure, r.attempt(r.server, time.Second)).Timeout = 2 * time.Second
		}, ""},
		"with more time than is left": {func(r *run) {
			r.request(scenario.EffectPure, r.attempt(r.server, 1200*time.Millisecond)).Timeout = 2 * time.Second
		}, "deadline"},
		"with more time than is left, by a pause of the node": {func(r *run) {
			r.node.Logged("paused for 210ms")
			r.request(scenario.EffectPure, r.attempt(r.server, 200*time.Millisecond)).Timeout = time.Second
		}, ""},
		"with more time than is left, by more than a pause of the node": {func(r *run) {
			r.node.Logged("paused for 190ms")
			r.request(scenario.EffectPure, r.attempt(r.server, 200*time.Millisecond)).Timeout = time.Second
		}, "deadline"},
		"with more time than is left, long after a pause of the node": {func(r *run) {
			r.node.Logged("paused for 210ms")
			r.request(scenario.EffectPure, r.attempt(r.server, time.Second)).Timeout = 1800 * time.Millisecond
		}, "deadline"},
		"just after a disconnection": {func(r *run) {
			r.request(scenario.EffectPure, r.attempt(r.server, time.Second)).DisconnectedAt = r.began.Add(950 * time.Millisecond)
		}, ""},
		"after a disconnection": {func(r *run) {
			r.request(scenario.EffectPure, r.attempt(r.server, time.Second)).DisconnectedAt = r.began.Add(850 * time.Millisecond)
		}, "disconnect"},
		"retry of an idempotent request": {func(r *run) {
			r.request(scenario.EffectPure, r.attempt(r.server, 0), r.attempt(r.server, time.Second))
		}, ""},
		"retry of a request with side effects": {func(r *run) {
			r.request(scenario.EffectSideEffect, r.attempt(r.server, 0), r.attempt(r.server, time.Millisecond))
		}, "duplicate"},
		"retry of one with side effects that was not executed": {func(r *run) {
			first := r.attempt(r.server, 0)
			first.NotExecuted = true
			r.request(scenario.EffectSideEffect, first, r.attempt(r.server, time.Millisecond))
		}, ""},
		"retry within the retention of the key": {func(r *run) {
			r.request(scenario.EffectToken, r.attempt(r.server, 0), r.attempt(r.server, 400*time.Millisecond))
		}, ""},
		"retry after the retention of the key": {func(r *run) {
			r.request(scenario.EffectToken, r.attempt(r.server, 0), r.attempt(r.server, 401*time.Millisecond))
		}, "duplicate"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRun()
			c.happen(r)
			expectRule(t, All(r.Run), c.want)
		})
	}
}

func TestOverloadOfAServerThatIsWarmingUpIsReported(t *testing.T) {
	const warmRate = 100 // requests a second to each server from the start
	for name, c := range map[string]struct {
		arrivals int // in the first second of the new server
		want     string
	}{
		"a share that grows":                     {60, ""},
		"the share of a warm server, twice over": {200, "slow start"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRun()
			joined := &history.Server{ID: "new-1", JoinedAt: r.began}
			r.History.AddServer(joined)
			for i := range warmRate {
				r.server.RequestArrived(r.began.Add(time.Duration(i) * time.Second / warmRate))
			}
			for i := range c.arrivals {
				joined.RequestArrived(r.began.Add(time.Duration(i) * time.Second / time.Duration(c.arrivals)))
			}
			expectRule(t, All(r.Run), c.want)
		})
	}
}

// expectRule checks that one violation of a rule was found, or none if the rule is empty.
func expectRule(t *testing.T, got []history.Violation, rule string) {
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
