package discovery

import (
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"calicohinge/internal/testkit"
	"calicohinge/policy"
)

// After an unresponsive watch, and while the initial list at a new address is pending, the delay is only jitter and
// does not grow.
func TestRetryDelayAfterFailure(t *testing.T) {
	for name, c := range map[string]retryDelayTest{
		"unresponsive watch":              {Unresponsive, true, false, false},
		"reset watch":                     {Reset, true, false, true},
		"refused, no list":                {Unreachable, false, false, true},
		"refused at a new address":        {Unreachable, false, true, false},
		"bad status, list at new address": {BadStatus, true, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := c.newFollower(t)
			for range 10 {
				delay := f.retryDelay(c.kind)
				if !c.grows && delay >= initialBackoff {
					t.Errorf("retryDelay(%v) = %v, want less than %v", c.kind, delay, initialBackoff)
				}
			}
			if grown := f.backoff.nominalDelay > initialBackoff; grown != c.grows {
				t.Errorf("nominal delay after the failures: got %v, want more than %v: %v",
					f.backoff.nominalDelay, initialBackoff, c.grows)
			}
		})
	}
}

// retryDelayTest describes a failed call, and whether the delay after it grows from failure to failure.
type retryDelayTest struct {
	kind           ErrorKind
	haveList       bool
	addressChanged bool
	grows          bool
}

// newFollower returns the follower whose call has failed.
func (c retryDelayTest) newFollower(t *testing.T) *follower {
	t.Helper()
	f := newTestFollower(t, "discovery", c.haveList)
	f.backoff = newBackoff(time.Second)
	if c.addressChanged {
		f.deadlines.initialList = time.Now().Add(time.Hour)
	}
	if c.haveList {
		f.deadlines.listApplied()
	}
	return f
}

// A node may miss changes because a call fails. It counts as notified of them at the notification deadline of the call,
// or earlier if the initial list at a new address is due before then.
func TestFailureIsReportedWithNotificationTime(t *testing.T) {
	for name, c := range map[string]failureDeadlineTest{
		"address unchanged":                  {0, 0, policy.NotificationDeadline},
		"address changed":                    {addressChangeDeadline, 0, addressChangeDeadline},
		"list deadline later":                {time.Hour, 0, policy.NotificationDeadline},
		"list overdue":                       {-time.Second, 0, policy.NotificationDeadline},
		"address changed twice":              {addressChangeDeadline, 3 * time.Second, 3 * time.Second},
		"address changed twice, one overdue": {addressChangeDeadline, time.Second / 2, addressChangeDeadline},
	} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, c.check) })
	}
}

// failureDeadlineTest describes the time that is reported with a failed call. All fields are relative to the start
// of the call.
type failureDeadlineTest struct {
	currentIn  time.Duration // list deadline of the current address; 0: the address has not changed
	previousIn time.Duration // list deadline of a previous address; 0: no list of a previous address is due
	notifiedIn time.Duration // expected notification time
}

func (c failureDeadlineTest) check(t *testing.T) {
	f := newTestFollower(t, "discovery", false)
	handler := newRecorder()
	f.handler, f.client.polling, f.state = handler, true, stateCalling
	failed := &call{startedAt: time.Now(), progress: newCallProgress()}
	if c.currentIn != 0 {
		f.deadlines.initialList = failed.startedAt.Add(c.currentIn)
	}
	if c.previousIn != 0 {
		f.deadlines.previousInitialList = failed.startedAt.Add(c.previousIn)
	}
	time.Sleep(time.Second) // duration of the call
	next := f.handleFailure(t.Context(), failed, &Error{Kind: Reset, Err: errors.New("reset")})
	if notifiedIn := (<-handler.failed).NotifiedAt.Sub(failed.startedAt); notifiedIn != c.notifiedIn {
		t.Errorf("notification time after the start of the call: got %v, want %v", notifiedIn, c.notifiedIn)
	}
	if next != stateIdle {
		t.Errorf("handleFailure() = state %d, want %d (stateIdle)", next, stateIdle)
	}
}

// If the address changes several times before a list arrives, the first deadline stays in force until it has passed.
// Then the deadline of a later change applies.
func TestRepeatedAddressChangesKeepFirstDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		f := newTestFollower(t, "first", true)
		for _, c := range []struct{ changedAt, due time.Duration }{
			{0, 4 * time.Second}, {time.Second, 4 * time.Second}, {3 * time.Second, 4 * time.Second},
			{4500 * time.Millisecond, 7 * time.Second}, {12 * time.Second, 16 * time.Second},
		} {
			time.Sleep(time.Until(startedAt.Add(c.changedAt)))
			f = f.moveTo("next", time.Now())
			if due := f.deadlines.nextInitialList(time.Now()).Sub(startedAt); due != c.due {
				t.Errorf("list deadline after the address change at %v: got %v, want %v", c.changedAt, due, c.due)
			}
		}
	})
}

// Responses are reported as snapshots or deltas. A delta without changes causes no update.
func TestUpdateKindOfEachResponse(t *testing.T) {
	scripted := testkit.NewScriptedDiscovery(t)
	handler := newRecorder()
	client := New(Config{Address: scripted.Address})
	go client.Run(t.Context(), handler)
	const instances = `"instances":[{"instanceId":"s","hostPort":"127.0.0.1:1","lifecycle":"Ready"}]}`
	for _, response := range []string{
		`{"generation":1,` + instances, // the first response is a snapshot
		`{"generation":2,` + instances,
		`{"generation":2,"instances":[]}`,
		`{"generation":3,"reset":true,"instances":[]}`,
	} {
		testkit.Receive(t, scripted.Calls, "a call")
		scripted.Responses <- response
	}
	testkit.Receive(t, scripted.Calls, "the call after the last list")
	var kinds []policy.UpdateKind
	for len(handler.updates) > 0 {
		kinds = append(kinds, <-handler.updates)
	}
	want := []policy.UpdateKind{policy.UpdateSnapshot, policy.UpdateDelta, policy.UpdateSnapshot}
	if !slices.Equal(kinds, want) {
		t.Errorf("kinds of the updates: got %v, want %v", kinds, want)
	}
}
