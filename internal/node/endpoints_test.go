package node

import (
	"net/http"
	"testing"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/internal/endpointjson"
	"calicohinge/internal/processstart"
	"calicohinge/internal/testkit"
	"calicohinge/policy"
)

func TestDrainingServerGetsNoRequests(t *testing.T) {
	a, b := testkit.NewBackend(t, testkit.OK), testkit.NewBackend(t, testkit.OK)
	n, d := startReady(t, a, b)
	drains := a.Endpoint("s-0")
	drains.Lifecycle = "Terminating"
	d.SetEndpointsAndWait(t, drains, b.Endpoint("s-1"))
	for range 20 {
		if r := n.do(n.request("read")); r.status != http.StatusOK {
			t.Fatalf("status %d", r.status)
		}
	}
	if len(a.Requests) != 0 || len(b.Requests) != 20 {
		t.Errorf("%d sends to the draining server, %d to the other", len(a.Requests), len(b.Requests))
	}
	d.SetEndpointsAndWait(t, drains)
	if r := n.do(n.request("read")); r.status != http.StatusServiceUnavailable {
		t.Errorf("status %d with no server left", r.status)
	}
}

// A server at a new address is another process: connections to the old one are closed.
func TestServerAtANewAddressGetsNewConnections(t *testing.T) {
	a, b := testkit.NewBackend(t, testkit.OK), testkit.NewBackend(t, testkit.OK)
	n, d := startReady(t, a)
	n.do(n.request("read"))
	d.SetEndpointsAndWait(t, b.Endpoint("s-0"))
	n.do(n.request("read"))
	if len(a.Requests) != 1 || len(b.Requests) != 1 {
		t.Errorf("%d sends to the old address, %d to the new one", len(a.Requests), len(b.Requests))
	}
}

// A draining, a removal or a restart is notified while a connection to the server is being
// opened, which then comes up: nothing is sent on it, and the request goes elsewhere.
func TestEndpointChangeRevokesAttemptsThatAwaitAConnection(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		change func(list []endpointjson.Endpoint) []endpointjson.Endpoint
		stays  bool // the server may be selected again
	}{
		"draining": {func(list []endpointjson.Endpoint) []endpointjson.Endpoint {
			list[0].Lifecycle = "Terminating"
			return list
		}, false},
		"removed": {func(list []endpointjson.Endpoint) []endpointjson.Endpoint { return list[1:] }, false},
		"restarted": {func(list []endpointjson.Endpoint) []endpointjson.Endpoint {
			list[0].StartedUnixMilli = float64(time.Now().UnixMilli())
			return list
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			stuck := testkit.NewStuckServer(t)
			l := startLoop(t, stuck.Endpoint("s-0"))
			done := l.submitAsync(t.Context(), l.newRequest(2, staysConnected))
			l.awaitRequests(t, 1, 1)
			b := testkit.NewBackend(t, testkit.OK)
			l.endpoints.UpdateEndpoints(policy.UpdateSnapshot, endpointjson.TranslateAll(c.change([]endpointjson.Endpoint{stuck.Endpoint("s-0"), b.Endpoint("s-1")})))
			l.firstAttemptsRevoked(t)
			received := stuck.Admit()
			final := testkit.Wait(t, done, "a response")
			if c.stays {
				return
			}
			if final.status != http.StatusOK {
				t.Errorf("status %d", final.status)
			}
			if len(received) > 0 {
				t.Errorf("%q was sent", <-received)
			}
		})
	}
}

// firstAttemptsRevoked fails the test if the first attempt of an active request may be sent.
func (l *loop) firstAttemptsRevoked(t *testing.T) {
	t.Helper()
	l.inLoop(t, func() {
		for _, r := range l.requests.active {
			if a := r.attempts[0]; a.state == attemptInFlight || !a.call.Revoked() {
				t.Error("the attempt may still be sent")
			}
		}
	})
}

// A draining is notified while a request waits for its next attempt: that goes elsewhere.
func TestRetryAvoidsADrainingServer(t *testing.T) {
	a, b, c := testkit.NewBackend(t, testkit.ServerError), testkit.NewBackend(t, testkit.OK), testkit.NewBackend(t, testkit.OK)
	l := startLoop(t, a.Endpoint("s-0"))
	answered := l.submitAsync(t.Context(), l.newRequest(0, staysConnected))
	testkit.Wait(t, a.Requests, "the first attempt")
	l.awaitRequests(t, 1, 0)
	drains := b.Endpoint("s-1")
	l.endpoints.UpdateEndpoints(policy.UpdateDelta, endpointjson.TranslateAll([]endpointjson.Endpoint{drains}))
	drains.Lifecycle = "Terminating"
	l.endpoints.UpdateEndpoints(policy.UpdateDelta, endpointjson.TranslateAll([]endpointjson.Endpoint{drains, c.Endpoint("s-2")}))
	if x := testkit.Wait(t, answered, "an answer"); x.status != http.StatusOK || len(b.Requests) > 0 {
		t.Errorf("status %d, %d sends to the server that drains", x.status, len(b.Requests))
	}
}

// Lists of discovery may be malformed; the node calls again and uses the valid endpoints.
func TestMalformedEndpointListsAreSkipped(t *testing.T) {
	b := testkit.NewBackend(t, testkit.OK)
	good := b.Endpoint("s-0")
	n, scripted := startScripted(t, "pushed", nil)
	scripted.Responses <- "what?"
	scripted.Responses <- `{"generation":"x"}`
	scripted.Responses <- `{"generation":3,"instances":[{"instanceId":5}]}`
	scripted.Responses <- `{"generation":4,"reset":true,"instances":[{},{"instanceId":"s-1","lifecycle":"Ready"},` +
		`{"instanceId":"s-2","hostPort":"nowhere","lifecycle":"Novel"},` +
		`{"instanceId":"s-0","hostPort":"` + good.Address + `","zone":"far","cell":-1,"lifecycle":"Ready",` +
		`"weight":-3,"startedAtMs":1.5e12,"novel":[]}]}`
	n.waitReady(http.StatusOK)
	if a := n.do(n.request("read")); a.status != http.StatusOK {
		t.Errorf("status %d", a.status)
	}
}

// A server that started before this node may still be warming up: its start must be after 0
// on the clock, which means long ago, and must not change from list to list, which would mean
// a restart.
func TestServerStartTimesAreStableOnTheClock(t *testing.T) {
	l, err := newLoop(t.Context(), testConfig(t, testkit.NewRegistry(t), nil), nil, noWatcher{})
	if err != nil {
		t.Fatal(err)
	}
	startedAt := func(wall time.Time) time.Duration {
		list := []endpoint.Endpoint{{ID: 1, State: policy.Ready, StartedAt: wall}}
		return l.endpoints.starts.Update(policy.UpdateSnapshot, list, processstart.Moment{Clock: l.clock.now(), Wall: time.Now()})[0]
	}
	at := time.Now().Add(-3 * time.Second).Round(0)
	first := startedAt(at)
	if age := l.clock.now() - first; age < 2900*time.Millisecond || age > 3*time.Second+testkit.WaitTimeout {
		t.Errorf("a start 3 s ago is %v ago on the clock", age)
	}
	if again := startedAt(at); again != first {
		t.Errorf("the start moved from %v to %v", first, again)
	}
	if startedAt(time.Time{}) != 0 {
		t.Error("a start long ago is not 0")
	}
}
