package node

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"calicohinge/internal/discovery"
	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

// A node whose watch becomes unresponsive or is reset misses changes of the endpoint list. It must reopen the watch
// from the generation of its list before the notification deadline of these changes, and apply the changes. Discovery
// sends them here as indented JSON, which is valid too.
func TestUnresponsiveOrResetWatchIsReopened(t *testing.T) {
	t.Parallel()
	for _, mode := range discoveryModes() {
		for name, fail := range map[string]func(*testkit.ScriptedDiscovery){
			"unresponsive": func(*testkit.ScriptedDiscovery) {},
			"reset":        func(scripted *testkit.ScriptedDiscovery) { scripted.Responses <- testkit.ResponseClose },
		} {
			t.Run(mode+" "+name, func(t *testing.T) {
				t.Parallel()
				testWatchIsReopened(t, mode, fail)
			})
		}
	}
}

func testWatchIsReopened(t *testing.T, mode string, fail func(*testkit.ScriptedDiscovery)) {
	t.Helper()
	n, scripted := startWithScriptedDiscovery(t, mode, nil)
	testkit.Receive(t, scripted.Calls, "the first call to discovery")
	scripted.Responses <- `{"generation":3,"reset":true,"instances":[]}`
	n.awaitReadiness(http.StatusOK)
	testkit.Receive(t, scripted.Calls, "the watch")

	began := time.Now()
	fail(scripted)
	reopened := testkit.Receive(t, scripted.Calls, "the reopened watch")
	if took := time.Since(began); took >= policy.NotificationDeadline {
		t.Errorf("reopening of the watch: got %v after its failure, want less than %v", took, policy.NotificationDeadline)
	}
	wantQueryPrefix(t, reopened, "after=3&")

	server := testkit.NewRecordingServer(t, testkit.OK)
	list := endpointjson.List{Generation: 4, Endpoints: []endpointjson.Endpoint{server.Endpoint("s-0")}}
	text, err := json.MarshalIndent(list, "", "  ")
	if err != nil {
		t.Fatalf("json.MarshalIndent(%+v): %v", list, err)
	}
	scripted.Responses <- string(text)
	testkit.Receive(t, scripted.Calls, "the next watch")
	n.wantStatus("read", http.StatusOK)
}

// When the address of discovery changes, the node requests the complete list from the new address. It cancels the call
// in flight to the previous address, whether the first call or a watch, only once that list has arrived: until then, a
// response from the previous address may be on its way, and the node would use it.
func TestDiscoveryAddressChangeCancelsCallInFlight(t *testing.T) {
	for _, mode := range discoveryModes() {
		t.Run(mode, func(t *testing.T) {
			n, old := startWithScriptedDiscovery(t, mode, nil)
			first := testkit.Receive(t, old.Calls, "the first call to discovery")
			next := testkit.NewScriptedDiscovery(t)

			n.node.SetDiscoveryAddress(next.Address) // before the node has a list
			wantQueryPrefix(t, testkit.Receive(t, next.Calls, "a call to the new address"), "")
			wantCallInFlight(t, first)
			next.Responses <- `{"generation":9,"reset":true,"instances":[]}`
			n.awaitReadiness(http.StatusOK)
			testkit.Receive(t, first.Context().Done(), "the cancellation of the first call")
			watch := testkit.Receive(t, next.Calls, "the watch at the new address")

			n.node.SetDiscoveryAddress(old.Address) // during the watch, back to the first address
			wantQueryPrefix(t, testkit.Receive(t, old.Calls, "a call to the first address"), "")
			wantCallInFlight(t, watch)
			old.Responses <- `{"generation":2,"reset":true,"instances":[]}`
			testkit.Receive(t, watch.Context().Done(), "the cancellation of the watch")
			wantQueryPrefix(t, testkit.Receive(t, old.Calls, "the watch at the first address"), "after=2&")
		})
	}
}

// wantCallInFlight fails the test if a call to the previous address has ended.
func wantCallInFlight(t *testing.T, call *http.Request) {
	t.Helper()
	if err := call.Context().Err(); err != nil {
		t.Errorf("call to the previous address: ended with %v, want it in flight until the new address sends a list", err)
	}
}

// A node counts as notified of the list at a new address of discovery 4 s after the change
// (testkit.AddressChangeDeadline). If the first calls to the new address fail, the node must therefore retry sooner
// than after other failures, even in a large fleet, where backoffs are long.
func TestNewDiscoveryAddressIsRetriedQuickly(t *testing.T) {
	t.Parallel()
	for _, mode := range discoveryModes() {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			n, _ := startWithScriptedDiscovery(t, mode, func(file map[string]any) {
				file["known"] = endpointjson.List{
					Endpoints: []endpointjson.Endpoint{{InstanceID: "s", Address: "127.0.0.1:1", Lifecycle: "Gone"}},
				}
				file["settings"] = testkit.JSON(strings.Replace(string(settingsWithMode(mode)), `"Limits"`,
					`"Balancers": 300, "Contract": {"MustAskInMs": 600000}, "Limits"`, 1))
			})
			next := testkit.NewScriptedDiscovery(t)
			n.awaitReadiness(http.StatusOK)

			began := time.Now()
			n.node.SetDiscoveryAddress(next.Address)
			for range 3 {
				testkit.Receive(t, next.Calls, "a call to the new address")
				next.Responses <- testkit.ResponseClose
			}
			testkit.Receive(t, next.Calls, "a call to the new address after failed calls")
			if took := time.Since(began); took >= testkit.AddressChangeDeadline {
				t.Errorf("fourth call to the new address: got %v after the change, want less than %v",
					took, testkit.AddressChangeDeadline)
			}
			next.Responses <- `{"generation":1,"reset":true,"instances":[]}`
			testkit.Receive(t, next.Calls, "the watch")
		})
	}
}

// After a failed watch, the node must call again without further cause, from the generation of its list. Otherwise it
// would miss the changes that discovery sends after its recovery.
func TestFailedWatchResumesAtItsGeneration(t *testing.T) {
	t.Parallel()
	for _, mode := range discoveryModes() {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			oldServer, newServer := testkit.NewRecordingServer(t, testkit.OK), testkit.NewRecordingServer(t, testkit.OK)
			n, scripted := startWithScriptedDiscovery(t, mode, nil)
			testkit.Receive(t, scripted.Calls, "the first call to discovery")
			scripted.Responses <- listJSON(t, endpointjson.List{
				Generation: 5, Endpoints: []endpointjson.Endpoint{oldServer.Endpoint("s-0")},
			})
			testkit.Receive(t, scripted.Calls, "the watch")

			scripted.Responses <- testkit.ResponseUnavailable
			testkit.Receive(t, scripted.Calls, "a call during the outage")
			scripted.Responses <- testkit.ResponseUnavailable
			wantQueryPrefix(t, testkit.Receive(t, scripted.Calls, "a call after the outage"), "after=5&")
			scripted.Responses <- listJSON(t, endpointjson.List{
				Generation: 6, Endpoints: []endpointjson.Endpoint{draining(oldServer.Endpoint("s-0")), newServer.Endpoint("s-1")},
			})
			wantQueryPrefix(t, testkit.Receive(t, scripted.Calls, "the next watch"), "after=6&")

			n.wantStatus("read", http.StatusOK)
			if sends := len(oldServer.Requests); sends > 0 {
				t.Errorf("requests sent to the draining server: got %d, want 0", sends)
			}
		})
	}
}

// callFailure makes the node's call in flight to discovery fail.
type callFailure func(*testNode, *testkit.ScriptedDiscovery)

// callFailures returns the ways in which a call to discovery can fail, by name.
func callFailures() map[string]callFailure {
	respond := func(text string) callFailure {
		return func(_ *testNode, scripted *testkit.ScriptedDiscovery) { scripted.Responses <- text }
	}
	return map[string]callFailure{
		"status 503":   respond(testkit.ResponseUnavailable),
		"reset":        respond(testkit.ResponseClose),
		"malformed":    respond("<html>"),
		"unresponsive": func(*testNode, *testkit.ScriptedDiscovery) {},
		"cancelled by SIGHUP": func(n *testNode, _ *testkit.ScriptedDiscovery) { // the address stays the same
			n.node.SetDiscoveryAddress(n.node.cfg.Discovery)
		},
	}
}

// A node counts as notified of changes policy.NotificationDeadline after discovery can be reached again. After a first
// and a second failed call, the node must therefore call again within that time, even in a large fleet, where a node
// polls rarely.
func TestFailedCallsAreRetriedBeforeTheNotificationDeadline(t *testing.T) {
	for name, fail := range callFailures() {
		t.Run(name, func(t *testing.T) {
			testFailedCallsAreRetried(t, fail)
		})
	}
}

func testFailedCallsAreRetried(t *testing.T, fail callFailure) {
	t.Helper()
	scripted := testkit.NewScriptedDiscovery(t)
	n := startNode(t, testConfig(t, testkit.NewFakeDiscovery(t), withLargeFleet(scripted.Address)))
	testkit.Receive(t, scripted.Calls, "the first call to discovery")
	scripted.Responses <- `{"generation":3,"reset":true,"instances":[` +
		`{"instanceId":"s","hostPort":"127.0.0.1:1","lifecycle":"Ready"}]}`
	testkit.Receive(t, scripted.Calls, "the watch")
	for range 2 {
		began := time.Now()
		fail(n, scripted)
		testkit.Receive(t, scripted.Calls, "a call after a failed call")
		if took := time.Since(began); took >= policy.NotificationDeadline {
			t.Errorf("next call to discovery: got %v after the failure, want less than %v", took, policy.NotificationDeadline)
		}
	}
}

// After discovery has refused connections and listens again, the node must call before the notification deadline, even
// in a large fleet, where a node polls rarely.
func TestRefusedCallsAreRetriedBeforeTheNotificationDeadline(t *testing.T) {
	t.Parallel()
	reserved := testkit.ReserveAddr(t)
	cfg := testConfig(t, testkit.NewFakeDiscovery(t), withLargeFleet(reserved.Address))
	client := discovery.New(discovery.Config{Address: reserved.Address, Polling: true})
	l := newTestLoop(t, cfg, upstream.NewPool(upstreamConfig(cfg, 20)), client)
	go client.Run(t.Context(), l.endpoints)
	// The five events are no cached list, a refused call, a timer, a refused call and a timer.
	for range 5 {
		testkit.Receive(t, l.queue.posted, "the loop's next event").handle(l.loop, l.clock.now())
	}

	listener, err := reserved.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(listener)
	began := time.Now()
	go l.run()
	nc, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	closeQuietly(nc)
	if took := time.Since(began); took >= policy.NotificationDeadline {
		t.Errorf("next call: got %v after discovery listens again, want less than %v", took, policy.NotificationDeadline)
	}
}

// outage makes a node's calls to discovery fail, beginning with the first call, and runs the function meanwhile during
// the outage.
type outage func(t *testing.T, scripted *testkit.ScriptedDiscovery, meanwhile func())

// failTwice returns an outage in which the first two calls get the given response, which must be a failure.
func failTwice(response string) outage {
	return func(t *testing.T, scripted *testkit.ScriptedDiscovery, meanwhile func()) {
		t.Helper()
		testkit.Receive(t, scripted.Calls, "the first call to discovery")
		scripted.Responses <- response
		meanwhile()
		testkit.Receive(t, scripted.Calls, "a call during the outage")
		scripted.Responses <- response
	}
}

// leaveFirstCallUnanswered is an outage in which the first call gets no response.
func leaveFirstCallUnanswered(t *testing.T, scripted *testkit.ScriptedDiscovery, meanwhile func()) {
	t.Helper()
	testkit.Receive(t, scripted.Calls, "the first call to discovery")
	meanwhile()
}

// Idle clients that use all client connections during an outage of discovery, and further clients that connect when it
// recovers, must not delay calls to discovery or requests: the node must apply the new list before the notification
// deadline and respond to all requests.
func TestNodeFollowsDiscoveryDuringAConnectionFlood(t *testing.T) {
	t.Parallel()
	for _, mode := range discoveryModes() {
		for name, fail := range map[string]outage{
			"status 503":   failTwice(testkit.ResponseUnavailable),
			"reset":        failTwice(testkit.ResponseClose),
			"unresponsive": leaveFirstCallUnanswered,
		} {
			t.Run(mode+" "+name, func(t *testing.T) {
				t.Parallel()
				testRecoveryDuringAFlood(t, mode, fail)
			})
		}
	}
}

func testRecoveryDuringAFlood(t *testing.T, mode string, fail outage) {
	t.Helper()
	oldServer, newServer := testkit.NewRecordingServer(t, testkit.OK), testkit.NewRecordingServer(t, testkit.OK)
	n, scripted := startWithScriptedDiscovery(t, mode, func(file map[string]any) {
		file["limits"] = map[string]any{"sockets": fewSockets}
		file["known"] = endpointjson.List{
			Generation: 1, Reset: true, Endpoints: []endpointjson.Endpoint{oldServer.Endpoint("s-0")},
		}
	})
	n.awaitReadiness(http.StatusOK)

	var idle []net.Conn
	fail(t, scripted, func() { idle = n.openFlood(90) })
	n.wantRequestsServed(1, "during the outage of discovery")
	n.awaitReadiness(http.StatusOK)
	if open := countOpen(idle); open > 22 { // 20 client connections and the reserve of 2
		t.Errorf("idle client connections open during the outage: got %d, want at most 22", open)
	}

	testkit.Receive(t, scripted.Calls, "the first call that succeeds")
	text := listJSON(t, endpointjson.List{
		Generation: 2, Endpoints: []endpointjson.Endpoint{draining(oldServer.Endpoint("s-0")), newServer.Endpoint("s-1")},
	})
	recovered := make(chan struct{})
	var clients sync.WaitGroup
	for range 5 {
		clients.Go(func() { <-recovered; n.openFlood(30) })
		clients.Go(func() { <-recovered; n.wantRequestsServed(4, "while discovery recovers") })
	}
	began := time.Now()
	close(recovered)
	scripted.Responses <- text
	wantQueryPrefix(t, testkit.Receive(t, scripted.Calls, "the next watch"), "after=2&")
	if took := time.Since(began); took > policy.NotificationDeadline {
		t.Errorf("new list applied: got %v after discovery recovered, want at most %v", took, policy.NotificationDeadline)
	}
	clients.Wait()

	takeRequests(oldServer)
	n.openFlood(60)
	n.wantRequestsServed(20, "after the recovery of discovery")
	if len(oldServer.Requests) > 0 {
		t.Errorf("requests sent to the draining server: got %d, want 0", len(oldServer.Requests))
	}
}
