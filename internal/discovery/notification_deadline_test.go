package discovery

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"calicohinge/policy"
)

// unresponsiveThenRefused is a script: a watch is unresponsive, the given number of calls after it end in the given way,
// and all others return a list at once.
func unresponsiveThenRefused(refused int, response callResponse) callScript {
	return func(number int, _ time.Time) callResponse {
		switch {
		case number == 0:
			return callResponse{unresponsive: true}
		case number <= refused:
			return response
		}
		return callResponse{}
	}
}

// lateListTest is a node whose watch is unresponsive from its start on, and whose next calls are refused.
type lateListTest struct {
	polling bool
	nodes   int
	refused int
}

// Guards against a notification deadline that each failed call extends: a node must have the list within
// policy.NotificationDeadline of the start of an unresponsive watch, although further calls fail. In a large fleet fewer
// calls may fail, because the calls of all nodes are spread over time.
func TestFailedCallsDoNotExtendTheNotificationDeadline(t *testing.T) {
	for _, c := range []lateListTest{
		{true, 2, 3}, {true, 6, 2}, {true, 20, 1}, {true, 40, 1}, {true, 300, 1}, {true, 900, 1},
		{false, 2, 3}, {false, 300, 3}, {false, 900, 3},
	} {
		name := fmt.Sprintf("polling %v, %d nodes, %d refused", c.polling, c.nodes, c.refused)
		t.Run(name, func(t *testing.T) {
			for number := range min(c.nodes, 50) {
				synctest.Test(t, func(t *testing.T) { c.check(t, number) })
			}
		})
	}
}

func (c lateListTest) check(t *testing.T, number int) {
	t.Helper()
	n := newHollowNode(t, c.polling, number, c.nodes, unresponsiveThenRefused(c.refused, callResponse{refused: true}))
	startedAt := time.Now()
	n.run(t)
	if took := (<-n.listed).Sub(startedAt); took >= policy.NotificationDeadline {
		t.Errorf("list of node %d: got it %v after the start of the unresponsive watch, want less than %v",
			number, took, policy.NotificationDeadline)
	}
}

// Guards against a change of address that extends the deadline of a watch at the old address.
func TestAddressChangeDoesNotExtendTheNotificationDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		f := newTestFollower(t, "first", true)
		f.deadlines.startCall(startedAt)
		for range 3 {
			time.Sleep(time.Second)
			f = f.moveTo("next", time.Now())
			f.haveList = false
			f.deadlines.startCall(time.Now())
		}
		time.Sleep(time.Second)
		failure := f.deadlines.failure(time.Now(), time.Now())
		// The initial list at the first new address is due 4 s after the first change, which is 5 s after the start.
		if due := failure.NotifiedAt.Sub(startedAt); due != time.Second+addressChangeDeadline {
			t.Errorf("deadline after three changes of address: got %v, want %v", due, time.Second+addressChangeDeadline)
		}
		time.Sleep(time.Second)
		failure = f.deadlines.failure(time.Now(), time.Now())
		if due := failure.NotifiedAt.Sub(startedAt); due != policy.NotificationDeadline {
			t.Errorf("deadline after that of the initial list: got %v, want that of the first watch, %v",
				due, policy.NotificationDeadline)
		}
	})
}

// deadlineStep is an event in the life of a notificationDeadlines, at a time since its start.
type deadlineStep struct {
	at         time.Duration
	event      func(d *notificationDeadlines, now time.Time)
	notifiedAt time.Duration // expected deadline of a call that fails at once after the event
}

// Guards against a deadline that anything but a list moves.
func TestOnlyAListMovesTheNotificationDeadline(t *testing.T) {
	call := func(d *notificationDeadlines, now time.Time) { d.startCall(now) }
	list := func(d *notificationDeadlines, now time.Time) { d.listApplied(); d.startCall(now) }
	changeAddress := func(d *notificationDeadlines, now time.Time) { *d = d.changeAddress(now); d.startCall(now) }
	startedAt := time.Now()
	var deadlines notificationDeadlines
	for _, step := range []deadlineStep{
		{0, call, 6 * time.Second},
		{4500 * time.Millisecond, call, 6 * time.Second},
		{5900 * time.Millisecond, call, 6 * time.Second},
		{7 * time.Second, call, 13 * time.Second}, // the deadline has passed; the call may miss later changes
		{8 * time.Second, list, 14 * time.Second},
		{10 * time.Second, call, 14 * time.Second},
		{11 * time.Second, changeAddress, 14 * time.Second},
		{14500 * time.Millisecond, call, 15 * time.Second}, // that of the initial list
		{16 * time.Second, list, 22 * time.Second},
	} {
		now := startedAt.Add(step.at)
		step.event(&deadlines, now)
		if due := deadlines.failure(now, now).NotifiedAt.Sub(startedAt); due != step.notifiedAt {
			t.Errorf("deadline of a call that fails at %v: got %v, want %v", step.at, due, step.notifiedAt)
		}
	}
}
