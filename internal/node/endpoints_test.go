package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/internal/testkit"
	"calicohinge/policy"
)

func TestDrain(t *testing.T) {
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

// A server that moved is another process: what stands open to the old one is dropped.
func TestServerMoves(t *testing.T) {
	a, b := testkit.NewBackend(t, testkit.OK), testkit.NewBackend(t, testkit.OK)
	n, d := startReady(t, a)
	n.do(n.request("read"))
	d.SetEndpointsAndWait(t, b.Endpoint("s-0"))
	n.do(n.request("read"))
	if len(a.Requests) != 1 || len(b.Requests) != 1 {
		t.Errorf("%d sends to the old address, %d to the new one", len(a.Requests), len(b.Requests))
	}
}

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

// What discovery says may make no sense; the node asks again and takes what it can use.
func TestBadListsAreSurvived(t *testing.T) {
	b := testkit.NewBackend(t, testkit.OK)
	good := b.Endpoint("s-0")
	lists := make(chan string, 10)
	lists <- "what?"
	lists <- `{"generation":"x"}`
	lists <- `{"generation":3,"instances":[{"instanceId":5}]}`
	lists <- `{"generation":4,"reset":true,"instances":[{},{"instanceId":"s-1","lifecycle":"Ready"},` +
		`{"instanceId":"s-2","hostPort":"nowhere","lifecycle":"Novel"},` +
		`{"instanceId":"s-0","hostPort":"` + good.Address + `","zone":"far","cell":-1,"lifecycle":"Ready",` +
		`"weight":-3,"startedAtMs":1.5e12,"novel":[]}]}`
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case text := <-lists:
			io.WriteString(w, text)
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(d.Close)
	n := start(t, testConfig(t, &testkit.Registry{Server: d}, nil))
	n.waitReady(http.StatusOK)
	if a := n.do(n.request("read")); a.status != http.StatusOK {
		t.Errorf("status %d", a.status)
	}
}

// A server that started before this node did may still be cold: its start must
// lie after the zero of the clock, which means long ago, and must not move from
// list to list, which would mean a restart.
func TestStartsOnTheClock(t *testing.T) {
	l, err := newLoop(t.Context(), testConfig(t, testkit.NewRegistry(t), nil), nil, unwatched{})
	if err != nil {
		t.Fatal(err)
	}
	at := float64(time.Now().Add(-3 * time.Second).UnixMilli())
	first := l.startedAt(at)
	if age := l.clock() - first; age < 2900*time.Millisecond || age > 3*time.Second+testkit.Patience {
		t.Errorf("a start 3 s ago is %v ago on the clock", age)
	}
	if again := l.startedAt(at); again != first {
		t.Errorf("the start moved from %v to %v", first, again)
	}
	if l.startedAt(0) != 0 {
		t.Error("a start long ago is not 0")
	}
}
