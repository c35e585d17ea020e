package discovery

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/internal/testkit"
	"calicohinge/policy"
)

// recorder is a Handler that records the updates and failures it receives.
type recorder struct {
	updates chan policy.UpdateKind
	failed  chan WatchFailure
	synced  atomic.Int32 // number of calls of Synced
}

func newRecorder() *recorder {
	return &recorder{updates: make(chan policy.UpdateKind, 100), failed: make(chan WatchFailure, 100)}
}

func (r *recorder) UpdateEndpoints(kind policy.UpdateKind, _ endpoint.List) {
	r.updates <- kind
}
func (r *recorder) Synced(time.Time)                 { r.synced.Add(1) }
func (r *recorder) Connected()                       {}
func (r *recorder) WatchFailed(failure WatchFailure) { r.failed <- failure }

// pendingRequestRecorder records how many watch requests are pending when a failure is reported.
type pendingRequestRecorder struct {
	*recorder
	client  *Client
	pending chan int
}

func (r pendingRequestRecorder) WatchFailed(failure WatchFailure) {
	r.pending <- len(r.client.watchRequests)
	r.recorder.WatchFailed(failure)
}

// A watch request made while another watch is active is stale once that watch fails, because the handler then
// requests the next watch itself. If the stale request stayed, the next call would be made immediately, and
// all nodes would call at the same time.
func TestStaleWatchRequestIsDropped(t *testing.T) {
	scripted := testkit.NewScriptedDiscovery(t)
	client := New(Config{Address: scripted.Address, Polling: true})
	handler := pendingRequestRecorder{newRecorder(), client, make(chan int, 1)}
	calls := newInFlightCalls(client.send)
	t.Cleanup(calls.close)
	f := newFollower(client, handler, calls, scripted.Address)
	f.state, f.haveList = stateCalling, true
	stopped := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { defer close(stopped); f.run(ctx) }()
	testkit.Receive(t, scripted.Calls, "the first watch")

	client.RequestWatch()
	scripted.Responses <- testkit.ResponseClose

	if pending := testkit.Receive(t, handler.pending, "the failure"); pending > 0 {
		t.Error("the stale watch request is still pending when the failure is reported")
	}
	testkit.Receive(t, handler.failed, "the failure")
	if len(client.watchRequests) > 0 || len(scripted.Calls) > 0 {
		t.Error("the stale watch request was kept, or caused a call")
	}
	client.RequestWatch() // this request, made after the failure, causes a call
	testkit.Receive(t, scripted.Calls, "the watch after the failure")

	cancel()
	testkit.Receive(t, stopped, "the follower to stop")
}

// clientStartTest describes the start of a client.
type clientStartTest struct {
	cached  endpoint.List
	poll    bool
	updates []policy.UpdateKind // expected updates before the first call
	query   string              // expected query of the first call
}

// In polling mode, the first call also waits for RequestWatch.
func TestCachedListIsReportedBeforeTheFirstCall(t *testing.T) {
	t.Parallel()
	cached := endpoint.List{Generation: 7, Endpoints: []endpoint.Endpoint{{ID: 1}}}
	update := []policy.UpdateKind{policy.UpdateCached}
	for name, c := range map[string]clientStartTest{
		"polling, cached list": {cached, true, update, "after=7&wait_ms=3000"},
		"polling, no list":     {endpoint.List{}, true, update, ""}, // package policy requests a watch after the update
		"push, cached list":    {cached, false, update, "after=7&wait_ms=1"},
		"push, no list":        {endpoint.List{}, false, nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.check(t)
		})
	}
}

func (c clientStartTest) check(t *testing.T) {
	t.Helper()
	scripted := testkit.NewScriptedDiscovery(t)
	handler := newRecorder()
	client := New(Config{Address: scripted.Address, Cached: c.cached, Polling: c.poll})
	go client.Run(t.Context(), handler)
	for _, want := range c.updates {
		if kind := testkit.Receive(t, handler.updates, "an update"); kind != want {
			t.Errorf("update before the first call: got %v, want %v", kind, want)
		}
	}
	if c.poll {
		if len(scripted.Calls) > 0 {
			t.Error("a call was made before RequestWatch")
		}
		client.RequestWatch()
	}
	if query := testkit.Receive(t, scripted.Calls, "the first call").URL.RawQuery; query != c.query {
		t.Errorf("query of the first call: got %q, want %q", query, c.query)
	}
	if len(handler.updates) > 0 {
		t.Errorf("got more updates than %v before the first response, want only those", c.updates)
	}
}

// After the address has changed twice, the client requests a snapshot from the latest address. In polling mode, it does
// not wait for RequestWatch. The pending call to the previous address is cancelled only after the latest address has
// returned a list, because the response to the pending call may be in transit.
func TestAddressChangeRequestsSnapshot(t *testing.T) {
	t.Parallel()
	for name, poll := range map[string]bool{"polling": true, "push": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			previous, latest := testkit.NewScriptedDiscovery(t), testkit.NewScriptedDiscovery(t)
			skipped := testkit.FreeAddr(t)
			client := New(Config{
				Address: previous.Address, Polling: poll,
				Cached: endpoint.List{Generation: 7, Endpoints: []endpoint.Endpoint{{ID: 1}}},
			})
			client.RequestWatch()
			go client.Run(t.Context(), newRecorder())
			pending := testkit.Receive(t, previous.Calls, "the first call")

			client.SetAddress(skipped)
			client.SetAddress(latest.Address)

			if query := testkit.Receive(t, latest.Calls, "a call to the new address").URL.RawQuery; query != "" {
				t.Errorf("query of the call to the new address: got %q, want none", query)
			}
			if err := pending.Context().Err(); err != nil {
				t.Errorf("the call to the previous address ended before the new address returned a list: %v", err)
			}
			latest.Responses <- `{"generation":1,"reset":true,"instances":[]}`
			testkit.Receive(t, pending.Context().Done(), "the cancellation of the call to the previous address")
		})
	}
}

// Guards against a restarted node that takes a cached list for that of the service, and against one that waits for the end
// of a watch before it knows that nothing has changed. In push mode, the first call asks for changes without a wait, again
// after a failure, and the handler is told that it has the list of the service only after a response. Changes with a lower
// generation than that of the cached list do not make it that list.
func TestCachedListIsConfirmedBeforeTheFirstWatch(t *testing.T) {
	t.Parallel()
	scripted := testkit.NewScriptedDiscovery(t)
	handler := newRecorder()
	client := New(Config{
		Address: scripted.Address,
		Cached:  endpoint.List{Generation: 7, Endpoints: []endpoint.Endpoint{{ID: 1}}},
	})
	go client.Run(t.Context(), handler)
	for _, step := range []struct {
		query    string
		synced   int32 // calls of Synced before the query
		response string
	}{
		{"after=7&wait_ms=1", 0, testkit.ResponseUnavailable},
		{"after=7&wait_ms=1", 0, "what?"},
		{"after=7&wait_ms=1", 0, `{"generation":3,"instances":[{"instanceId":"s","lifecycle":"Gone"}]}`},
		{"", 0, `{"generation":3,"reset":true,"instances":[]}`},
		{"after=3&wait_ms=3000", 1, `{"generation":3,"instances":[]}`},
		{"after=3&wait_ms=3000", 2, testkit.ResponseUnavailable},
		{"after=3&wait_ms=3000", 2, testkit.ResponseUnavailable},
	} {
		if query := testkit.Receive(t, scripted.Calls, "a call").URL.RawQuery; query != step.query {
			t.Errorf("query of the next call: got %q, want %q", query, step.query)
		}
		if synced := handler.synced.Load(); synced != step.synced {
			t.Errorf("calls of Synced before the query %q: got %d, want %d", step.query, synced, step.synced)
		}
		scripted.Responses <- step.response
	}
}
