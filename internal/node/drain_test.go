package node

import (
	"net/http"
	"testing"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/internal/testkit"
	"calicohinge/policy"
)

// A drain, a loss or a restart is told while a connection to the server is being opened,
// which then comes up: nothing goes out on it, and the request goes elsewhere.
func TestServerDrainsWhileAConnectionIsOpened(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(list []endpoint.Endpoint) []endpoint.Endpoint{
		"drains": func(list []endpoint.Endpoint) []endpoint.Endpoint { list[0].Lifecycle = "Terminating"; return list },
		"gone":   func(list []endpoint.Endpoint) []endpoint.Endpoint { return list[1:] },
		"restarts": func(list []endpoint.Endpoint) []endpoint.Endpoint {
			list[0].StartedUnixMilli = float64(time.Now().UnixMilli())
			return list
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			far := testkit.NewStuckServer(t)
			l := loopOf(t, far.Endpoint("s-0"))
			answered := make(chan response, 1)
			go func() { a, _ := l.submit(t.Context(), l.newRequest(2, staysConnected)); answered <- a }()
			l.open(t, 1, 1)
			b := testkit.NewBackend(t, testkit.OK)
			list := change([]endpoint.Endpoint{far.Endpoint("s-0"), b.Endpoint("s-1")})
			l.UpdateEndpoints(policy.UpdateSnapshot, list)
			l.then(t, func() {
				for _, r := range l.requests {
					if a := r.attempts[0]; !a.reported || !a.call.Revoked() {
						t.Error("the attempt may still be sent")
					}
				}
			})
			said := far.Admit()
			if a := testkit.Wait(t, answered, "an answer"); a.status != http.StatusOK && name != "restarts" {
				t.Errorf("status %d", a.status)
			}
			if name != "restarts" && len(said) > 0 { // a restarted one may be picked anew
				t.Errorf("%q was sent", <-said)
			}
		})
	}
}

// A drain is told while a request waits for its next attempt: that goes elsewhere.
func TestServerDrainsBeforeARetry(t *testing.T) {
	a, b, c := testkit.NewBackend(t, testkit.ServerError), testkit.NewBackend(t, testkit.OK), testkit.NewBackend(t, testkit.OK)
	l := loopOf(t, a.Endpoint("s-0"))
	answered := make(chan response, 1)
	go func() { x, _ := l.submit(t.Context(), l.newRequest(0, staysConnected)); answered <- x }()
	testkit.Wait(t, a.Requests, "the first attempt")
	l.open(t, 1, 0)
	drains := b.Endpoint("s-1")
	l.UpdateEndpoints(policy.UpdateDelta, []endpoint.Endpoint{drains})
	drains.Lifecycle = "Terminating"
	l.UpdateEndpoints(policy.UpdateDelta, []endpoint.Endpoint{drains, c.Endpoint("s-2")})
	if x := testkit.Wait(t, answered, "an answer"); x.status != http.StatusOK || len(b.Requests) > 0 {
		t.Errorf("status %d, %d sends to the server that drains", x.status, len(b.Requests))
	}
}
