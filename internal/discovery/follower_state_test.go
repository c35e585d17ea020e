package discovery

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"calicohinge/internal/endpoint"
)

// URLs by which followerTest.send distinguishes the earlier call and the call to a previous address from the current
// call, which has another URL.
const (
	earlierURL  = "earlier call"
	previousURL = "call to a previous address"
)

// callResult is the list or the error that a call returns.
type callResult struct {
	list endpoint.List
	err  error
}

// followerTest is a test that determines the results of a follower's calls.
type followerTest struct {
	*testing.T
	// Results of the current call, of an earlier call and of a call to a previous address.
	current, earlier, previous chan callResult
}

// send is the sendFunc of the test. It waits for the result of the call.
func (t *followerTest) send(ctx context.Context, query query) (endpoint.List, error) {
	results := map[string]chan callResult{earlierURL: t.earlier, previousURL: t.previous}[query.url]
	if results == nil {
		results = t.current
	}
	select {
	case r := <-results:
		return r.list, r.err
	case <-ctx.Done():
		return endpoint.List{}, ctx.Err()
	}
}

// transition is a case of the table in the doc comment of follower.
type transition struct {
	polling  bool
	state    state
	haveList bool
	event    func(*followerTest, *follower)
	next     state
	updates  int // number of lists that the handler receives
	failures int // number of failures that the handler receives
}

// returnList makes a call return a list.
func returnList(results chan<- callResult) {
	results <- callResult{list: endpoint.List{Generation: 4, Snapshot: true}}
}

func TestFollowerStateTransitions(t *testing.T) {
	requestWatch := func(_ *followerTest, f *follower) { f.client.RequestWatch() }
	earlierList := func(t *followerTest, _ *follower) { returnList(t.earlier) }
	earlierError := func(t *followerTest, _ *follower) { t.earlier <- callResult{err: errors.New("reset")} }
	previousList := func(t *followerTest, _ *follower) { returnList(t.previous) }
	currentList := func(t *followerTest, _ *follower) { returnList(t.current) }
	currentError := func(t *followerTest, _ *follower) { t.current <- callResult{err: errors.New("reset")} }
	listAfterASecond := func(t *followerTest, _ *follower) {
		time.Sleep(time.Second)
		returnList(t.current)
	}
	nothing := func(*followerTest, *follower) {}
	wait := func(delay time.Duration) func(*followerTest, *follower) {
		return func(*followerTest, *follower) { time.Sleep(delay) }
	}
	// The columns: polling, state, have list, event, next state, lists, failures.
	for name, c := range map[string]transition{
		"idle, no event":                    {true, stateIdle, true, nothing, stateIdle, 0, 0},
		"idle, request":                     {true, stateIdle, true, requestWatch, stateCalling, 0, 0},
		"idle, earlier list":                {true, stateIdle, true, earlierList, stateCalling, 1, 0},
		"idle, earlier failure":             {true, stateIdle, true, earlierError, stateIdle, 0, 0},
		"idle, previous address":            {true, stateIdle, false, previousList, stateIdle, 1, 0},
		"idle, previous address, have list": {true, stateIdle, true, previousList, stateIdle, 0, 0},
		"calling, no event":                 {false, stateCalling, true, nothing, stateCalling, 0, 0},
		"calling, immediate list":           {false, stateCalling, true, currentList, statePausing, 1, 0},
		"calling, list":                     {true, stateCalling, true, listAfterASecond, stateCalling, 1, 0},
		"calling, immediate earlier list":   {false, stateCalling, true, earlierList, statePausing, 1, 0},
		"calling, earlier failure":          {true, stateCalling, true, earlierError, stateCalling, 0, 0},
		"calling, previous address":         {true, stateCalling, false, previousList, stateCalling, 1, 0},
		"calling, failure, polling":         {true, stateCalling, true, currentError, stateIdle, 0, 1},
		"calling, failure, push":            {false, stateCalling, true, currentError, statePausing, 0, 1},
		"calling, timeout, polling":         {true, stateCalling, true, wait(responseTimeout), stateIdle, 0, 1},
		"calling, timeout, push":            {false, stateCalling, true, wait(responseTimeout), statePausing, 0, 1},
		"pausing, no event":                 {false, statePausing, true, nothing, statePausing, 0, 0},
		"pausing, delay has passed":         {false, statePausing, true, wait(time.Minute), stateCalling, 0, 0},
		"pausing, earlier list":             {false, statePausing, true, earlierList, stateCalling, 1, 0},
		"pausing, earlier failure":          {false, statePausing, true, earlierError, statePausing, 0, 0},
		"pausing, previous address":         {false, statePausing, false, previousList, statePausing, 1, 0},
		"pausing, request":                  {true, statePausing, true, requestWatch, statePausing, 0, 0},
	} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, c.check) })
	}
}

func (c transition) check(t *testing.T) {
	test := &followerTest{
		T: t, current: make(chan callResult, 1), earlier: make(chan callResult, 1), previous: make(chan callResult, 1),
	}
	client := New(Config{Address: "discovery", Polling: c.polling})
	handler := newRecorder()
	calls := newInFlightCalls(test.send)
	f := newFollower(client, handler, calls, "discovery")
	f.state, f.haveList, f.delay = c.state, c.haveList, time.Minute
	calls.start(t.Context(), "previous", query{url: previousURL, snapshot: true})
	calls.start(t.Context(), "discovery", query{url: earlierURL})
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() { defer close(stopped); f.run(ctx) }()
	synctest.Wait()

	c.event(test, f)
	synctest.Wait()
	cancel()
	<-stopped
	calls.close()

	if f.state != c.next {
		t.Errorf("state after the event: got %d, want %d", f.state, c.next)
	}
	if len(handler.updates) != c.updates || len(handler.failed) != c.failures {
		t.Errorf("handler received: got %d lists and %d failures, want %d and %d",
			len(handler.updates), len(handler.failed), c.updates, c.failures)
	}
}

// Even in polling mode, the first call to a new address does not wait for RequestWatch.
func TestFollowerOfNewAddressCallsImmediately(t *testing.T) {
	f := newTestFollower(t, "first", true)
	f.client.polling, f.state = true, stateIdle
	if next := f.moveTo("second", time.Now()); next.state != stateCalling || next.haveList {
		t.Errorf("moveTo(): got state %d, haveList %v; want %d (stateCalling), false",
			next.state, next.haveList, stateCalling)
	}
}
