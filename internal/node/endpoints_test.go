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

// A draining server gets no requests, even if no other server is left.
func TestDrainingServerGetsNoRequests(t *testing.T) {
	drainingServer, otherServer := testkit.NewRecordingServer(t, testkit.OK), testkit.NewRecordingServer(t, testkit.OK)
	n, discovery := startReadyNode(t, drainingServer, otherServer)
	drainingEndpoint := draining(drainingServer.Endpoint("s-0"))
	discovery.SetEndpointsAndWait(t, drainingEndpoint, otherServer.Endpoint("s-1"))
	for range 20 {
		if r := n.do(n.newRequest("read")); r.status != http.StatusOK {
			t.Fatalf("request of class read: status %d, want 200", r.status)
		}
	}
	if len(drainingServer.Requests) != 0 || len(otherServer.Requests) != 20 {
		t.Errorf("requests sent: got %d to the draining server and %d to the other server, want 0 and 20",
			len(drainingServer.Requests), len(otherServer.Requests))
	}
	discovery.SetEndpointsAndWait(t, drainingEndpoint) // no other server is left
	n.wantStatus("read", http.StatusServiceUnavailable)
}

// A server at a new address is a new process, so the node closes its connections to the old address and opens new ones.
func TestServerAtANewAddressGetsNewConnections(t *testing.T) {
	oldServer, newServer := testkit.NewRecordingServer(t, testkit.OK), testkit.NewRecordingServer(t, testkit.OK)
	n, discovery := startReadyNode(t, oldServer)
	n.do(n.newRequest("read"))
	discovery.SetEndpointsAndWait(t, newServer.Endpoint("s-0"))
	n.do(n.newRequest("read"))
	if len(oldServer.Requests) != 1 || len(newServer.Requests) != 1 {
		t.Errorf("requests sent: got %d to the old address and %d to the new address, want 1 and 1",
			len(oldServer.Requests), len(newServer.Requests))
	}
}

// If the node is notified that a server drains, was removed or has restarted, an attempt that waits for a connection to
// that server must be revoked. Otherwise the attempt would be sent when the connection opens. The request then goes to
// another server, or to the restarted server.
func TestEndpointChangeRevokesAttemptsThatAwaitAConnection(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(server endpointjson.Endpoint) []endpointjson.Endpoint{
		"draining": func(server endpointjson.Endpoint) []endpointjson.Endpoint {
			return []endpointjson.Endpoint{draining(server)}
		},
		"removed": func(endpointjson.Endpoint) []endpointjson.Endpoint { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, fullAcceptQueue, done := startWithConnectingAttempt(t)
			changed := change(fullAcceptQueue.Endpoint("s-0"))
			other := testkit.NewRecordingServer(t, testkit.OK)

			l.reportEndpoints(policy.UpdateSnapshot, append(changed, other.Endpoint("s-1"))...)
			l.wantFirstAttemptsRevoked()
			sent := fullAcceptQueue.AcceptAll()

			l.wantResponseStatus(done, http.StatusOK)
			if len(sent) > 0 {
				t.Errorf("the revoked attempt sent %q, want nothing", <-sent)
			}
		})
	}
	t.Run("restarted", func(t *testing.T) { // the restarted server may be selected again and get the request
		t.Parallel()
		l, fullAcceptQueue, done := startWithConnectingAttempt(t)
		restarted := fullAcceptQueue.Endpoint("s-0")
		restarted.StartedUnixMilli = float64(time.Now().UnixMilli())
		other := testkit.NewRecordingServer(t, testkit.OK)

		l.reportEndpoints(policy.UpdateSnapshot, restarted, other.Endpoint("s-1"))
		l.wantFirstAttemptsRevoked()
		fullAcceptQueue.AcceptAll()

		testkit.Receive(t, done, "a response")
	})
}

// startWithConnectingAttempt starts a loop with one request, whose attempt waits for a connection to a server with a
// full accept queue.
func startWithConnectingAttempt(t *testing.T) (*testLoop, *testkit.FullAcceptQueueServer, <-chan response) {
	t.Helper()
	fullAcceptQueue := testkit.NewFullAcceptQueueServer(t)
	l := startLoop(t, fullAcceptQueue.Endpoint("s-0"))
	done := l.submitAsync(t.Context(), l.newRequest(classPay, neverDisconnected))
	l.awaitRequests(1, 1)
	return l, fullAcceptQueue, done
}

// wantFirstAttemptsRevoked fails the test unless the first attempt of each request has ended and has been revoked.
func (l *testLoop) wantFirstAttemptsRevoked() {
	l.t.Helper()
	l.runInLoop(func() {
		for _, r := range l.requests.byID {
			a := r.attempts[0]
			if inFlight, revoked := a.state == attemptInFlight, a.call.Revoked(); inFlight || !revoked {
				l.t.Errorf("first attempt of request %v: in flight %t, revoked %t; want false and true", r.id, inFlight, revoked)
			}
		}
	})
}

// A retry must not go to a server that has started to drain while the request waited for the retry.
func TestRetryAvoidsADrainingServer(t *testing.T) {
	failing := testkit.NewRecordingServer(t, testkit.ServerError)
	drainingServer, other := testkit.NewRecordingServer(t, testkit.OK), testkit.NewRecordingServer(t, testkit.OK)
	l := startLoop(t, failing.Endpoint("s-0"))
	done := l.submitAsync(t.Context(), l.newRequest(classRead, neverDisconnected))
	testkit.Receive(t, failing.Requests, "the first attempt at the failing server")
	l.awaitRequests(1, 0)

	l.reportEndpoints(policy.UpdateDelta, drainingServer.Endpoint("s-1"))
	l.reportEndpoints(policy.UpdateDelta, draining(drainingServer.Endpoint("s-1")), other.Endpoint("s-2"))

	l.wantResponseStatus(done, http.StatusOK)
	if sends := len(drainingServer.Requests); sends > 0 {
		t.Errorf("requests sent to the draining server: got %d, want 0", sends)
	}
}

// Discovery may send malformed lists, and lists with malformed endpoints. The node must call again after a malformed
// list, and must use the valid endpoints of a list that also has malformed endpoints.
func TestMalformedEndpointListsAreSkipped(t *testing.T) {
	valid := testkit.NewRecordingServer(t, testkit.OK)
	n, scripted := startWithScriptedDiscovery(t, "pushed", nil)
	scripted.Responses <- "what?"
	scripted.Responses <- `{"generation":"x"}`
	scripted.Responses <- `{"generation":3,"instances":[{"instanceId":5}]}`
	scripted.Responses <- `{"generation":4,"reset":true,"instances":[{},{"instanceId":"s-1","lifecycle":"Ready"},` +
		`{"instanceId":"s-2","hostPort":"nowhere","lifecycle":"Novel"},` +
		`{"instanceId":"s-0","hostPort":"` + valid.Address() + `","zone":"far","cell":-1,"lifecycle":"Ready",` +
		`"weight":-3,"startedAtMs":1.5e12,"novel":[]}]}`
	n.awaitReadiness(http.StatusOK)
	n.wantStatus("read", http.StatusOK)
}

// A server that started shortly before the node may still be warming up. Its start on the node's clock must therefore
// be after 0, since 0 means long ago. It must not differ from list to list, since a difference means that the server
// has restarted.
func TestServerStartTimesAreStableOnTheClock(t *testing.T) {
	l := newTestLoop(t, testConfig(t, testkit.NewFakeDiscovery(t), nil), nil, stubWatcher{})
	clockStart := func(startedAt time.Time) time.Duration {
		list := []endpoint.Endpoint{{ID: 1, State: policy.EndpointReady, StartedAt: startedAt}}
		now := processstart.Moment{Clock: l.clock.now(), Wall: time.Now()}
		return l.endpoints.processStarts.Update(policy.UpdateSnapshot, list, now)[0]
	}
	startedAt := time.Now().Add(-3 * time.Second).Round(0)
	first := clockStart(startedAt)
	if age := l.clock.now() - first; age < 2900*time.Millisecond || age > 3*time.Second+testkit.WaitTimeout {
		t.Errorf("age on the node's clock of a server that started 3s ago: got %v, want 2.9s to %v",
			age, 3*time.Second+testkit.WaitTimeout)
	}
	if second := clockStart(startedAt); second != first {
		t.Errorf("start on the node's clock: got %v for the first list and %v for the second, want the same", first, second)
	}
	if got := clockStart(time.Time{}); got != 0 {
		t.Errorf("start on the node's clock of a server without a start time: got %v, want 0", got)
	}
}
