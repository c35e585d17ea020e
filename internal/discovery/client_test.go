package discovery

import (
	"context"
	"testing"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/internal/testkit"
	"calicohinge/policy"
)

// recorder is a Handler that records its calls.
type recorder struct {
	updates chan policy.UpdateKind
	failed  chan time.Time
}

func newRecorder() *recorder {
	return &recorder{updates: make(chan policy.UpdateKind, 100), failed: make(chan time.Time, 100)}
}

func (r *recorder) UpdateEndpoints(kind policy.UpdateKind, _ []endpoint.Endpoint) {
	r.updates <- kind
}
func (r *recorder) Synced()                          {}
func (r *recorder) WatchFailed(notifiedAt time.Time) { r.failed <- notifiedAt }

// pendingRequestRecorder records how many watch requests are pending when a failure is reported.
type pendingRequestRecorder struct {
	*recorder
	client  *Client
	pending chan int
}

func (r pendingRequestRecorder) WatchFailed(notifiedAt time.Time) {
	r.pending <- len(r.client.watchRequests)
	r.recorder.WatchFailed(notifiedAt)
}

// A watch is requested while another one is active, and that one fails. The handler requests the next watch
// itself: the stale request must not make all nodes call at once.
func TestStaleWatchRequestIsDropped(t *testing.T) {
	scripted := testkit.NewScriptedDiscovery(t)
	client := New(Config{Address: scripted.Address, Poll: true})
	handler := pendingRequestRecorder{newRecorder(), client, make(chan int, 1)}
	calls := newInFlightCalls(client.send)
	t.Cleanup(calls.close)
	f := newFollower(client, handler, calls, scripted.Address)
	f.state, f.haveList = stateCalling, true
	stopped := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { defer close(stopped); f.run(ctx) }()
	testkit.Wait(t, scripted.Calls, "the watch")

	client.RequestWatch()
	scripted.Responses <- testkit.ResponseReset

	if pending := testkit.Wait(t, handler.pending, "the failure"); pending > 0 {
		t.Error("the stale request is pending when the failure is reported")
	}
	testkit.Wait(t, handler.failed, "the failure")
	if len(client.watchRequests) > 0 || len(scripted.Calls) > 0 {
		t.Error("the stale request stays, or was followed")
	}
	client.RequestWatch() // the one after the failure is followed
	testkit.Wait(t, scripted.Calls, "the watch after the failure")

	cancel()
	testkit.Wait(t, stopped, "the follower to stop")
}

// clientStartTest is how a client starts.
type clientStartTest struct {
	cached  endpoint.List
	poll    bool
	updates []policy.UpdateKind // before the first call
	query   string              // of the first call
}

// In polling mode no call is made before a request.
func TestCachedListIsReportedBeforeTheFirstCall(t *testing.T) {
	t.Parallel()
	cached := endpoint.List{Generation: 7, Endpoints: []endpoint.Endpoint{{ID: 1}}}
	update := []policy.UpdateKind{policy.UpdateCached}
	for name, c := range map[string]clientStartTest{
		"polled, cached list": {cached, true, update, "after=7&wait_ms=3000"},
		"polled, no list":     {endpoint.List{}, true, update, ""}, // package policy requests the first watch
		"pushed, cached list": {cached, false, update, "after=7&wait_ms=3000"},
		"pushed, no list":     {endpoint.List{}, false, nil, ""},
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
	client := New(Config{Address: scripted.Address, Cached: c.cached, Poll: c.poll})
	go client.Run(t.Context(), handler)
	for _, want := range c.updates {
		if kind := testkit.Wait(t, handler.updates, "an update"); kind != want {
			t.Errorf("update %v, want %v", kind, want)
		}
	}
	if c.poll {
		if len(scripted.Calls) > 0 {
			t.Error("called without a request")
		}
		client.RequestWatch()
	}
	if query := testkit.Wait(t, scripted.Calls, "the first call").URL.RawQuery; query != c.query {
		t.Errorf("query %q, want %q", query, c.query)
	}
	if len(handler.updates) > 0 {
		t.Errorf("more updates than %v", c.updates)
	}
}

// After a change of the address the complete list is requested from the latest address, in polling mode
// too. The pending call ends once that has returned its list.
func TestAddressChangeRequestsSnapshot(t *testing.T) {
	t.Parallel()
	for name, poll := range map[string]bool{"polled": true, "pushed": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			previous, latest := testkit.NewScriptedDiscovery(t), testkit.NewScriptedDiscovery(t)
			skipped := testkit.FreeAddr(t)
			client := New(Config{
				Address: previous.Address, Poll: poll,
				Cached: endpoint.List{Generation: 7, Endpoints: []endpoint.Endpoint{{ID: 1}}},
			})
			client.RequestWatch()
			go client.Run(t.Context(), newRecorder())
			pending := testkit.Wait(t, previous.Calls, "the first call")

			client.SetAddress(skipped)
			client.SetAddress(latest.Address)

			if query := testkit.Wait(t, latest.Calls, "a call to the new address").URL.RawQuery; query != "" {
				t.Errorf("query %q, want none", query)
			}
			if err := pending.Context().Err(); err != nil {
				t.Errorf("the previous call has ended: %v; its response may be on its way", err)
			}
			latest.Responses <- `{"generation":1,"reset":true,"instances":[]}`
			testkit.Wait(t, pending.Context().Done(), "the end of the previous call")
		})
	}
}
