package node

import (
	"context"
	"io"
	"net/http"
	"testing"

	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
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
func TestAddressChangeDoesNotEndTheInitialSync(t *testing.T) {
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

// Guards against a cached list that stays in use after discovery is back: a node that is ready because nothing listened
// at the address of discovery makes no more attempts on that list as soon as a call has a connection.
func TestCachedListIsNotUsedOnceDiscoveryIsBack(t *testing.T) {
	t.Parallel()
	changed, other := testkit.NewRecordingServer(t, testkit.OK), testkit.NewRecordingServer(t, testkit.OK)
	reserved := testkit.ReserveAddr(t)
	n := startReadyNodeWithConfig(t, changed.Endpoint("s-0"), func(file map[string]any) {
		file["discovery"] = reserved.Address
		file["known"] = endpointjson.List{
			Generation: 7, Reset: true, Endpoints: []endpointjson.Endpoint{changed.Endpoint("s-0"), other.Endpoint("s-1")},
		}
	})
	r := &restartedNode{testNode: n, changed: changed, other: other}
	r.wantStatus("read", http.StatusOK)

	listener, err := reserved.Listen()
	if err != nil {
		t.Fatal(err)
	}
	respond := make(chan string)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		select {
		case text := <-respond:
			_, _ = io.WriteString(w, text) // the node may have disconnected
		case <-request.Context().Done():
		}
	})}
	context.AfterFunc(t.Context(), func() { _ = server.Close() }) // errors do not matter after the test
	go func() { _ = server.Serve(listener) }()                    // returns when the server is closed
	shortRequest := func() *http.Request {
		request := r.newRequest("read")
		request.Header.Set("X-Timeout-Ms", "300")
		return request
	}
	testkit.WaitUntil(t, "the node to make no more attempts", func() bool {
		return r.do(shortRequest()).status == http.StatusServiceUnavailable
	})
	takeRequests(changed, other)
	r.do(shortRequest())
	if sent := len(takeRequests(changed, other)); sent > 0 {
		t.Errorf("attempts while discovery takes its time: got %d, want none", sent)
	}
	respond <- listJSON(t, endpointjson.List{
		Generation: 8, Endpoints: []endpointjson.Endpoint{draining(changed.Endpoint("s-0"))},
	})
	r.wantServedByOther(t)
}
