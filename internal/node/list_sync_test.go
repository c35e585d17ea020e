package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"calicohinge/internal/discovery"
	"calicohinge/internal/endpoint"
	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

// restartedNode is a node in push mode that has started with a cached list of two servers. Its discovery service has not
// responded yet.
type restartedNode struct {
	*testNode
	discovery      *testkit.ScriptedDiscovery
	changed, other *testkit.RecordingServer // the list changes for the first one while the node is down
}

// restartNode starts a restartedNode and waits for its first call to discovery.
func restartNode(t *testing.T) *restartedNode {
	t.Helper()
	changed, other := testkit.NewRecordingServer(t, testkit.OK), testkit.NewRecordingServer(t, testkit.OK)
	n, scripted := startWithScriptedDiscovery(t, "pushed", func(file map[string]any) {
		file["known"] = endpointjson.List{
			Generation: 7, Reset: true, Endpoints: []endpointjson.Endpoint{changed.Endpoint("s-0"), other.Endpoint("s-1")},
		}
	})
	r := &restartedNode{n, scripted, changed, other}
	r.wantConfirmation(t)
	return r
}

// wantConfirmation waits for the next call to discovery, which asks without a wait whether the cached list is current.
func (r *restartedNode) wantConfirmation(t *testing.T) {
	t.Helper()
	wantQueryPrefix(t, testkit.Receive(t, r.discovery.Calls, "a call to discovery"), "after=7&wait_ms=1")
}

// wantNotForwarded fails the test unless the node is not ready, and rejects a request without an attempt before the
// client's time is up.
func (r *restartedNode) wantNotForwarded(t *testing.T) {
	t.Helper()
	r.awaitReadiness(http.StatusServiceUnavailable)
	request := r.newRequest("read")
	request.Header.Set("X-Timeout-Ms", "300")
	if status := r.do(request).status; status != http.StatusServiceUnavailable {
		t.Errorf("request before discovery has responded: status %d, want %d", status, http.StatusServiceUnavailable)
	}
	if sent := len(takeRequests(r.changed, r.other)); sent > 0 {
		t.Errorf("attempts before discovery has responded: got %d, want none", sent)
	}
}

// wantServedByOther fails the test unless the node is ready and sends requests to the other server only.
func (r *restartedNode) wantServedByOther(t *testing.T) {
	t.Helper()
	r.awaitReadiness(http.StatusOK)
	for range 20 {
		r.wantStatus("read", http.StatusOK)
	}
	if toChanged, toOther := len(r.changed.Requests), len(r.other.Requests); toChanged > 0 || toOther != 20 {
		t.Errorf("attempts after the response: got %d at the changed server and %d at the other, want 0 and 20",
			toChanged, toOther)
	}
}

// Guards against attempts at a server that began to drain or was removed while the node was down: a node that took its
// cached list for current until a slow discovery responded sent requests there after the grace period. Failed calls of a
// service that is up, which an overloaded one ends with 503 or a reset, do not make the cached list current.
func TestRestartedNodeMakesNoAttemptsBeforeDiscoveryResponds(t *testing.T) {
	t.Parallel()
	for name, response := range map[string]func(r *restartedNode) endpointjson.List{
		"draining": func(r *restartedNode) endpointjson.List {
			return endpointjson.List{Generation: 8, Endpoints: []endpointjson.Endpoint{draining(r.changed.Endpoint("s-0"))}}
		},
		"removed": func(*restartedNode) endpointjson.List {
			return endpointjson.List{Generation: 8, Endpoints: []endpointjson.Endpoint{
				{InstanceID: "s-0", Lifecycle: "Gone"},
			}}
		},
		"not in a snapshot": func(r *restartedNode) endpointjson.List {
			return endpointjson.List{
				Generation: 900, Reset: true, Endpoints: []endpointjson.Endpoint{r.other.Endpoint("s-1")},
			}
		},
	} {
		for failuresName, failures := range map[string][]string{
			"":                   nil,
			", after status 503": {testkit.ResponseUnavailable, testkit.ResponseUnavailable, testkit.ResponseUnavailable},
			", after resets":     {testkit.ResponseClose, testkit.ResponseClose, testkit.ResponseClose, testkit.ResponseClose},
			", after malformed":  {"what?", "{}}", `{"generation":"x"}`},
		} {
			t.Run(name+failuresName, func(t *testing.T) {
				t.Parallel()
				r := restartNode(t)
				for _, failure := range failures {
					r.discovery.Responses <- failure
					r.wantConfirmation(t)
				}
				r.wantNotForwarded(t)
				r.discovery.Responses <- listJSON(t, response(r))
				r.wantServedByOther(t)
			})
		}
	}
}

// Changes with a lower generation than that of the cached list are those of a discovery service that has restarted. The
// node must not use the cached list with these changes, but wait for the snapshot that it requests.
func TestRestartedNodeWaitsForTheSnapshotOfARestartedDiscovery(t *testing.T) {
	t.Parallel()
	r := restartNode(t)
	r.discovery.Responses <- listJSON(t, endpointjson.List{
		Generation: 2, Endpoints: []endpointjson.Endpoint{r.other.Endpoint("s-1")},
	})
	wantQueryPrefix(t, testkit.Receive(t, r.discovery.Calls, "the call for a snapshot"), "")
	r.wantNotForwarded(t)
	r.discovery.Responses <- listJSON(t, endpointjson.List{
		Generation: 2, Reset: true, Endpoints: []endpointjson.Endpoint{r.other.Endpoint("s-1")},
	})
	r.wantServedByOther(t)
}

// A change of the address of discovery before the first response does not make the cached list current.
func TestAddressChangeDoesNotEndTheSync(t *testing.T) {
	t.Parallel()
	r := restartNode(t)
	next := testkit.NewScriptedDiscovery(t)
	r.node.SetDiscoveryAddress(next.Address)
	wantQueryPrefix(t, testkit.Receive(t, next.Calls, "the call to the new address"), "")
	r.wantNotForwarded(t)
	next.Responses <- listJSON(t, endpointjson.List{
		Generation: 1, Reset: true, Endpoints: []endpointjson.Endpoint{r.other.Endpoint("s-1")},
	})
	r.wantServedByOther(t)
}

// A restarted node with a current list is ready with the first response, which does not wait for a change, and a node
// whose discovery service is down is ready as soon as that is clear.
func TestRestartedNodeIsReadyWithoutChanges(t *testing.T) {
	t.Parallel()
	t.Run("list is current", func(t *testing.T) {
		t.Parallel()
		r := restartNode(t)
		r.discovery.Responses <- `{"generation":7,"instances":[]}`
		wantQueryPrefix(t, testkit.Receive(t, r.discovery.Calls, "the watch"), "after=7&wait_ms=3000")
		r.awaitReadiness(http.StatusOK)
		r.wantStatus("read", http.StatusOK)
	})
	t.Run("nothing listens at the address", func(t *testing.T) {
		t.Parallel()
		server := testkit.NewRecordingServer(t, testkit.OK)
		n := startReadyNodeWithConfig(t, server.Endpoint("s-0"), func(file map[string]any) {
			file["discovery"] = testkit.FreeAddr(t)
			file["known"] = endpointjson.List{
				Generation: 7, Reset: true, Endpoints: []endpointjson.Endpoint{server.Endpoint("s-0")},
			}
		})
		n.wantStatus("read", http.StatusOK)
	})
}

// outageTest is a loop that a discovery client in push mode keeps up to date. Its cached list has two servers, one of
// which begins to drain during an outage of discovery.
type outageTest struct {
	*testLoop
	discovery       *restartableDiscovery
	draining, other *testkit.RecordingServer
}

// newOutageTest starts the loop and the client of a discovery service.
func newOutageTest(t *testing.T, service *restartableDiscovery) *outageTest {
	t.Helper()
	draining, other := testkit.NewRecordingServer(t, testkit.OK), testkit.NewRecordingServer(t, testkit.OK)
	cfg := testConfig(t, testkit.NewFakeDiscovery(t), nil)
	client := discovery.New(discovery.Config{
		Address: service.address, DrainGrace: time.Second,
		Cached: endpoint.List{Generation: 7, Snapshot: true, Endpoints: endpointjson.TranslateAll([]endpointjson.Endpoint{
			draining.Endpoint("s-0"), other.Endpoint("s-1"),
		})},
	})
	o := &outageTest{newTestLoop(t, cfg, upstream.NewPool(upstreamConfig(cfg, 20)), client), service, draining, other}
	go o.run()
	go client.Run(t.Context(), o.endpoints)
	return o
}

// awaitSyncState waits until the endpoint list of the loop has a state.
func (o *outageTest) awaitSyncState(state policy.SyncState) {
	o.t.Helper()
	testkit.WaitUntil(o.t, "the endpoint list to have the state "+state.String(), func() bool {
		return policy.SyncState(o.sync.state.Load()) == state
	})
}

// wantResponse fails the test unless a request gets a response with the wanted status.
func (o *outageTest) wantResponse(want int) {
	o.t.Helper()
	request := o.newRequest(classRead, neverDisconnected)
	request.deadline = o.clock.now() + time.Second
	o.wantResponseStatus(o.submitAsync(o.t.Context(), request), want)
}

// wantServedByOther fails the test unless requests are sent to the other server only.
func (o *outageTest) wantServedByOther() {
	o.t.Helper()
	for range 20 {
		o.wantResponse(http.StatusOK)
	}
	if toDraining, toOther := len(o.draining.Requests), len(o.other.Requests); toDraining > 0 || toOther != 20 {
		o.t.Errorf("attempts after the response: got %d at the draining server and %d at the other, want 0 and 20",
			toDraining, toOther)
	}
}

// restartableDiscovery is a discovery service that refuses connections while it is stopped.
type restartableDiscovery struct {
	address   string
	server    *http.Server
	responses chan string // one response per call, which waits for it
}

// newRestartableDiscovery returns a service that is stopped.
func newRestartableDiscovery(t *testing.T) *restartableDiscovery {
	t.Helper()
	listener, err := testkit.ListenOnNewHost() // no other test uses the host
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close() // nothing has connected
	return &restartableDiscovery{address: listener.Addr().String(), responses: make(chan string)}
}

// start makes the service accept calls until stop is called or the test ends.
func (d *restartableDiscovery) start(t *testing.T) {
	t.Helper()
	listener, err := net.Listen("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: d}
	d.server = server
	context.AfterFunc(t.Context(), func() { _ = server.Close() }) // errors do not matter after the test
	go func() { _ = server.Serve(listener) }()                    // returns when the server is closed
}

// stop resets all calls.
func (d *restartableDiscovery) stop() { _ = d.server.Close() } // fails only if the listener is already closed

// ServeHTTP implements http.Handler.
func (d *restartableDiscovery) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	select {
	case text := <-d.responses:
		_, _ = io.WriteString(w, text) // the node may have disconnected
	case <-request.Context().Done():
	}
}

// Guards against a list from before an outage that stays in use after discovery is back, by a node that was restarted
// during the outage and by one that was running. As soon as a call has a connection, neither makes attempts until discovery
// has returned a list.
func TestListIsNotUsedOnceDiscoveryIsBack(t *testing.T) {
	t.Parallel()
	for name, running := range map[string]bool{"running node": true, "restarted node": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			service := newRestartableDiscovery(t)
			if running {
				service.start(t)
			}
			o := newOutageTest(t, service)
			if running {
				o.discovery.responses <- `{"generation":7,"instances":[]}`
				o.awaitSyncState(policy.SyncDone)
				o.discovery.stop()
			}
			o.awaitSyncState(policy.SyncUnreachable)
			o.wantResponse(http.StatusOK)

			o.discovery.start(t)
			o.awaitSyncState(policy.SyncPending)
			takeRequests(o.draining, o.other)
			o.wantResponse(http.StatusServiceUnavailable)
			if sent := len(takeRequests(o.draining, o.other)); sent > 0 {
				t.Errorf("attempts while discovery takes its time: got %d, want none", sent)
			}
			o.discovery.responses <- listJSON(t, endpointjson.List{
				Generation: 8, Endpoints: []endpointjson.Endpoint{draining(o.draining.Endpoint("s-0"))},
			})
			o.awaitSyncState(policy.SyncDone)
			o.wantServedByOther()
		})
	}
}
