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

// After an unresponsive watch, and before the initial list at a new address, the delay only spreads the calls of
// the nodes and does not grow.
func TestRetryDelayAfterFailure(t *testing.T) {
	for name, c := range map[string]struct {
		kind           ErrorKind
		haveList       bool
		addressChanged bool
		grows          bool
	}{
		"unresponsive watch":           {Unresponsive, true, false, false},
		"reset watch":                  {Reset, true, false, true},
		"refused, no list":             {Unreachable, false, false, true},
		"refused at a new address":     {Unreachable, false, true, false},
		"bad status, list known again": {BadStatus, true, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFollower(t, "discovery", c.haveList)
			f.backoff = newBackoff(time.Second)
			if c.addressChanged {
				f.deadlines.current = time.Now().Add(time.Hour)
			}
			for range 10 {
				delay := f.retryDelay(c.kind)
				if !c.grows && delay >= initialBackoff {
					t.Errorf("delay %v, want less than %v", delay, initialBackoff)
				}
			}
			if grown := f.backoff.nominalDelay > initialBackoff; grown != c.grows {
				t.Errorf("next nominal delay %v, want a grown one: %v", f.backoff.nominalDelay, c.grows)
			}
		})
	}
}

// What a failed call has missed counts as notified a fixed time after its start, or earlier if the
// address changed.
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

// failureDeadlineTest is the deadline that is reported with a failed call. All times count from its start.
type failureDeadlineTest struct {
	currentIn  time.Duration // 0: the address has not changed
	previousIn time.Duration // 0: no earlier change awaits its list
	notifiedIn time.Duration
}

func (c failureDeadlineTest) check(t *testing.T) {
	f := newTestFollower(t, "discovery", false)
	handler := newRecorder()
	f.handler, f.client.polling, f.state = handler, true, stateCalling
	failed := &call{startedAt: time.Now(), progress: &callProgress{}}
	if c.currentIn != 0 {
		f.deadlines.current = failed.startedAt.Add(c.currentIn)
	}
	if c.previousIn != 0 {
		f.deadlines.previous = failed.startedAt.Add(c.previousIn)
	}
	time.Sleep(time.Second) // the call
	next := f.handleFailure(t.Context(), failed, &Error{Kind: Reset, Err: errors.New("reset")})
	if notifiedIn := (<-handler.failed).Sub(failed.startedAt); notifiedIn != c.notifiedIn {
		t.Errorf("notified after %v, want %v", notifiedIn, c.notifiedIn)
	}
	if next != stateIdle {
		t.Errorf("next state %d: the next call waits for no request", next)
	}
}

// The address changes several times before a list arrives: the first deadline stays in force until it has
// passed, then that of the next change.
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
			if due := f.deadlines.nextAfter(time.Now()).Sub(startedAt); due != c.due {
				t.Errorf("changed at %v: due at %v, want %v", c.changedAt, due, c.due)
			}
		}
	})
}

// A response is reported by its kind: a complete list, changes, or nothing new.
func TestUpdateKindOfEachResponse(t *testing.T) {
	scripted := testkit.NewScriptedDiscovery(t)
	handler := newRecorder()
	client := New(Config{Address: scripted.Address})
	go client.Run(t.Context(), handler)
	const instances = `"instances":[{"instanceId":"s","hostPort":"127.0.0.1:1","lifecycle":"Ready"}]}`
	for _, response := range []string{
		`{"generation":1,` + instances, // the first one is complete
		`{"generation":2,` + instances,
		`{"generation":2,"instances":[]}`,
		`{"generation":3,"reset":true,"instances":[]}`,
	} {
		testkit.Wait(t, scripted.Calls, "a call")
		scripted.Responses <- response
	}
	testkit.Wait(t, scripted.Calls, "the call after the last list")
	var kinds []policy.UpdateKind
	for len(handler.updates) > 0 {
		kinds = append(kinds, <-handler.updates)
	}
	want := []policy.UpdateKind{policy.UpdateSnapshot, policy.UpdateDelta, policy.UpdateSnapshot}
	if !slices.Equal(kinds, want) {
		t.Errorf("updates %v, want %v", kinds, want)
	}
}
