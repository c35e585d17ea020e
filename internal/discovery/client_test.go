package discovery

import (
	"calicohinge/internal/endpoint"
	"calicohinge/internal/testkit"
	"calicohinge/policy"
	"context"
	"testing"
	"time"
)

// The budget of a silent watch: its wait, what an answer may be late by and the spread of
// the calls anew leave an eighth of the time for the answer.
func TestSilentWatchIsNoticedInTime(t *testing.T) {
	if left := policy.NotificationDeadline - callTimeout - time.Second*3/4; left < policy.NotificationDeadline/8 {
		t.Errorf("%v are left for the call anew", left)
	}
	// For a call that may wait, 2 s behind its wait count too, if that is later.
	if watchWait+2*time.Second > policy.NotificationDeadline {
		t.Errorf("a wait of %v moves the time", watchWait)
	}
}

// Where lists are pushed, the news count as told the moment discovery is back: the calls
// come at least twice in what a drain allows.
func TestPushedCallsKeepPaceWithADrain(t *testing.T) {
	for ms, want := range map[int]time.Duration{
		300: 150 * time.Millisecond, 1000: 500 * time.Millisecond, 9000: time.Second, 0: initialBackoff,
	} {
		grace := time.Duration(ms) * time.Millisecond
		if d := New(Config{DrainGrace: grace}); d.maxBackoff != want {
			t.Errorf("a grace of %d ms: %v between calls, want %v", ms, d.maxBackoff, want)
		}
	}
}

// recorder is a Handler that keeps what it is told.
type recorder struct {
	updates chan policy.UpdateKind
	failed  chan time.Time
}

func newRecorder() *recorder {
	return &recorder{updates: make(chan policy.UpdateKind, 100), failed: make(chan time.Time, 100)}
}

func (r *recorder) UpdateEndpoints(kind policy.UpdateKind, _ []endpoint.Endpoint) { r.updates <- kind }
func (r *recorder) EndpointsKnown()                                               {}
func (r *recorder) WatchFailed(notifiedAt time.Time)                              { r.failed <- notifiedAt }

// A watch is requested while one is under way, which then fails: the handler says anew when
// to call, and the old request does not make all nodes call at once.
func TestStaleRequestForAWatchIsDropped(t *testing.T) {
	scripted := testkit.NewScriptedDiscovery(t)
	handler := newRecorder()
	client := New(Config{Address: scripted.Address, Poll: true})
	watch := newFollower(client, handler, scripted.Address)
	watch.watching, watch.haveList = true, true
	ended := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { defer close(ended); watch.run(ctx) }()
	testkit.Wait(t, scripted.Calls, "the watch")
	client.RequestWatch()
	scripted.Answers <- testkit.AnswerReset
	testkit.Wait(t, handler.failed, "the failure")
	if len(client.watchRequests) > 0 || len(scripted.Calls) > 0 {
		t.Error("the stale request stays, or was followed")
	}
	client.RequestWatch() // the one behind the failure is followed
	testkit.Wait(t, scripted.Calls, "the watch behind the failure")
	cancel()
	testkit.Wait(t, ended, "the end")
}
