package policy

import (
	"testing"
	"time"
)

func cachedList(h *harness)      { h.updateEndpoints(UpdateCached, readyEndpoints(1, 4)...) }
func emptyCachedList(h *harness) { h.updateEndpoints(UpdateCached) }
func snapshot(h *harness) {
	h.updateEndpoints(UpdateSnapshot, readyEndpoints(2, 4)...)
	h.balancer.EndpointsSynced(h.now)
}
func unchangedList(h *harness) { h.balancer.EndpointsSynced(h.now) }
func refusal(h *harness)       { h.balancer.WatchFailed(h.now, WatchFailure{Refused: true}) }
func connection(h *harness)    { h.balancer.DiscoveryConnected(h.now) }
func otherFailure(h *harness)  { h.balancer.WatchFailed(h.now, WatchFailure{}) }
func startOver(h *harness)     { h.updateEndpoints(UpdateDelta, readyEndpoints(1, 1)...) }

// repeat returns an event that applies another one several times.
func repeat(count int, apply func(h *harness)) func(h *harness) {
	return func(h *harness) {
		for range count {
			apply(h)
		}
	}
}

// wait returns an event that lets time pass.
func wait(d time.Duration) func(h *harness) { return func(h *harness) { h.advance(d) } }

// Guards against attempts on a cached list that may be out of date, and against a node that is never ready: the table of
// listSync, event by event.
func TestSyncEndsOnlyWithAReason(t *testing.T) {
	const pending = SyncPending
	for name, tc := range map[string]struct {
		polled bool
		events []func(h *harness)
		want   SyncState
	}{
		"polled, cached list":               {true, []func(*harness){cachedList}, SyncNotRequired},
		"polled, no list":                   {true, []func(*harness){emptyCachedList, wait(time.Minute)}, pending},
		"polled, no list, then a list":      {true, []func(*harness){emptyCachedList, snapshot}, SyncDone},
		"pushed, cached list":               {false, []func(*harness){cachedList}, pending},
		"pushed, cached list is current":    {false, []func(*harness){cachedList, unchangedList}, SyncDone},
		"pushed, slow snapshot":             {false, []func(*harness){cachedList, wait(5 * time.Second), snapshot}, SyncDone},
		"pushed, few refusals":              {false, []func(*harness){cachedList, repeat(2, refusal)}, pending},
		"pushed, refusals":                  {false, []func(*harness){cachedList, repeat(3, refusal)}, SyncUnreachable},
		"pushed, refusals not in a row":     {false, []func(*harness){cachedList, repeat(2, refusal), otherFailure, repeat(2, refusal)}, pending},
		"pushed, refusals, then a list":     {false, []func(*harness){cachedList, repeat(3, refusal), snapshot}, SyncDone},
		"pushed, many other failures":       {false, []func(*harness){cachedList, repeat(50, otherFailure)}, pending},
		"pushed, changes of another list":   {false, []func(*harness){cachedList, startOver}, pending},
		"pushed, no response":               {false, []func(*harness){cachedList, wait(5 * time.Second)}, pending},
		"pushed, no response in time":       {false, []func(*harness){cachedList, wait(6 * time.Second)}, SyncTimedOut},
		"pushed, late list":                 {false, []func(*harness){cachedList, wait(6 * time.Second), snapshot}, SyncDone},
		"pushed, no list, failures":         {false, []func(*harness){repeat(9, refusal), wait(time.Minute)}, pending},
		"pushed, refused before the cached": {false, []func(*harness){repeat(3, refusal), cachedList}, SyncUnreachable},
		"pushed, back after refusals":       {false, []func(*harness){cachedList, repeat(3, refusal), wait(time.Second), connection}, pending},
		"pushed, back, waits anew":          {false, []func(*harness){cachedList, repeat(3, refusal), wait(5 * time.Second), connection, wait(5 * time.Second)}, pending},
		"pushed, back, no response":         {false, []func(*harness){cachedList, repeat(3, refusal), wait(5 * time.Second), connection, wait(6 * time.Second)}, SyncTimedOut},
		"pushed, back, refused again":       {false, []func(*harness){cachedList, repeat(3, refusal), connection, repeat(3, refusal)}, SyncUnreachable},
		"pushed, back, then a list":         {false, []func(*harness){cachedList, repeat(3, refusal), connection, snapshot}, SyncDone},
		"pushed, connected between":         {false, []func(*harness){cachedList, repeat(2, refusal), connection, repeat(2, refusal)}, pending},
		"pushed, connected after a list":    {false, []func(*harness){cachedList, snapshot, connection}, SyncDone},
		"pushed, down after a list":         {false, []func(*harness){snapshot, wait(time.Minute), repeat(3, refusal)}, SyncUnreachable},
		"pushed, few refusals after a list": {false, []func(*harness){snapshot, wait(time.Minute), repeat(2, refusal), connection}, SyncDone},
		"pushed, back after an outage":      {false, []func(*harness){snapshot, wait(time.Minute), repeat(3, refusal), connection, wait(5 * time.Second)}, pending},
		"pushed, back, other failures":      {false, []func(*harness){snapshot, wait(time.Minute), repeat(3, refusal), connection, repeat(9, otherFailure)}, pending},
		"pushed, back, no list":             {false, []func(*harness){snapshot, wait(time.Minute), repeat(3, refusal), connection, wait(6 * time.Second)}, SyncTimedOut},
		"pushed, back, list":                {false, []func(*harness){snapshot, wait(time.Minute), repeat(3, refusal), connection, unchangedList}, SyncDone},
		"pushed, many other failures later": {false, []func(*harness){snapshot, repeat(50, otherFailure), connection}, SyncDone},
		"polled, down after a list":         {true, []func(*harness){cachedList, snapshot, repeat(9, refusal), connection}, SyncDone},
		"pushed, connected after timeout":   {false, []func(*harness){cachedList, wait(6 * time.Second), connection}, SyncTimedOut},
		"polled, connected":                 {true, []func(*harness){cachedList, connection}, SyncNotRequired},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.PollEndpoints = tc.polled
			h := newSyncHarness(t, settings)
			for _, apply := range tc.events {
				apply(h)
			}
			wantSyncState(t, h, tc.want)
		})
	}
}

// newSyncHarness returns a harness whose process has started and which has no endpoints.
func newSyncHarness(t *testing.T, settings Settings) *harness {
	t.Helper()
	host := newFakeHost()
	balancer, err := New(settings, 1, host)
	if err != nil {
		t.Fatalf("New(%+v): %v", settings, err)
	}
	h := &harness{t: t, balancer: balancer, host: host, now: time.Hour, outcomesReported: map[RequestID]int{}}
	balancer.StartSync(h.now)
	return h
}

// wantSyncState fails the test unless the sync has the wanted state and has reported each change of state to the host.
func wantSyncState(t *testing.T, h *harness, want SyncState) {
	t.Helper()
	if got := h.balancer.sync.state; got != want {
		t.Errorf("state of the sync: got %v, want %v", got, want)
	}
	last := SyncPending // of a sync that has reported no state
	for i, state := range h.host.syncStates {
		if state == last {
			t.Errorf("reported state %d of %v: got %v again, want another one", i, h.host.syncStates, state)
		}
		last = state
	}
	if last != want {
		t.Errorf("last of the reported states %v: got %v, want %v", h.host.syncStates, last, want)
	}
}

// A request that arrives before the list is in sync gets its final response in time: it waits for the list, and is
// rejected if the list does not arrive in time.
func TestRequestsWaitForTheSync(t *testing.T) {
	h := newSyncHarness(t, testSettings())
	cachedList(h)
	rejected := h.request(0)
	h.advance(2 * time.Second)
	if _, isRejected := h.host.rejected[rejected]; !isRejected || len(h.host.sends) > 0 {
		t.Fatalf("request without a list until its deadline: rejected %v, attempts %v; want true and none",
			isRejected, h.host.sends)
	}
	waiting := h.request(0)
	h.advance(100 * ms)
	if len(h.host.sends) > 0 {
		t.Fatalf("attempts before the list is in sync: got %v, want none", h.host.sends)
	}
	snapshot(h) // server 1 was removed
	h.advance(10 * ms)
	if servers := h.attemptedServers(waiting); len(servers) != 1 || servers[0] == 1 {
		t.Errorf("servers of the request that waited for the list: got %v, want one other than 1", servers)
	}
}

// A server that was replaced while the node was down is warming up when the node makes its first attempts.
func TestReplacedServerWarmsUpAfterTheSync(t *testing.T) {
	h := newSyncHarness(t, testSettings())
	cachedList(h)
	replaced := readyEndpoints(1, 1)
	replaced[0].StartedAt = h.now
	h.updateEndpoints(UpdateDelta, replaced...)
	h.balancer.EndpointsSynced(h.now)
	if share := h.balancer.endpoints.byID[1].capacityShare(&h.balancer.settings.Rules, h.now); share > 0.5 {
		t.Errorf("capacity share of the replaced server: got %v, want that of a server that is warming up", share)
	}
}
