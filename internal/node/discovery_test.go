package node

import (
	"net/http"
	"testing"

	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
)

// A node that starts during an outage of discovery becomes ready once discovery has recovered. During a later outage,
// the node continues to serve with its endpoint list.
func TestNodeServesAfterAndDuringDiscoveryOutages(t *testing.T) {
	server := testkit.NewRecordingServer(t, testkit.OK)
	discovery := testkit.NewFakeDiscovery(t)
	discovery.SetUnavailable(true)
	n := startNode(t, testConfig(t, discovery, nil))
	testkit.Receive(t, discovery.Queries, "the first call to discovery")
	testkit.Receive(t, discovery.Queries, "a call to discovery after a failed one")
	n.awaitReadiness(http.StatusServiceUnavailable)

	discovery.SetEndpoints(server.Endpoint("s-0"))
	discovery.SetUnavailable(false)
	n.awaitReadiness(http.StatusOK)
	n.wantStatus("read", http.StatusOK)

	discovery.SetUnavailable(true) // the node keeps its list
	n.wantStatus("read", http.StatusOK)
}

// After a change of the address of discovery, as by SIGHUP, the node must end the watch at the previous address and
// request the complete list from the new address, since the generation of its list comes from the previous address. The
// node must serve and stay ready throughout, even while nothing listens at the new address.
func TestNodeFollowsDiscoveryToANewAddress(t *testing.T) {
	oldServer, newServer := testkit.NewRecordingServer(t, testkit.OK), testkit.NewRecordingServer(t, testkit.OK)
	old := testkit.NewFakeDiscovery(t, oldServer.Endpoint("s-a"))
	n := startNode(t, testConfig(t, old, nil))
	n.awaitReadiness(http.StatusOK)
	next := testkit.NewFakeDiscovery(t, newServer.Endpoint("s-b"))
	for len(old.Queries) > 0 {
		<-old.Queries
	}

	n.node.SetDiscoveryAddress(testkit.FreeAddr(t)) // nothing listens at this address
	n.wantStatus("read", http.StatusOK)
	n.node.SetDiscoveryAddress(next.Listener.Addr().String())
	if query := testkit.Receive(t, next.Queries, "the first call to the new address"); query != "" {
		t.Errorf("first call to the new discovery address: query %q, want none", query)
	}
	testkit.Receive(t, next.Queries, "the watch at the new address")
	n.awaitReadiness(http.StatusOK)

	takeRequests(oldServer)
	n.wantStatus("read", http.StatusOK)
	if len(oldServer.Requests) > 0 || len(newServer.Requests) == 0 {
		t.Errorf("requests sent: got %d to the server of the old list and %d to the server of the new list, "+
			"want 0 and at least 1",
			len(oldServer.Requests), len(newServer.Requests))
	}
	next.SetEndpointsAndWait(t)
	n.wantStatus("read", http.StatusServiceUnavailable) // the watch at the new address has returned the empty list

	n.node.SetDiscoveryAddress(old.Listener.Addr().String())
	for query := range old.Queries {
		if query == "" {
			break
		}
	}
	testkit.Receive(t, old.Queries, "the watch at the first address")
	n.wantStatus("read", http.StatusOK)
}

// A node that starts during an outage of discovery becomes ready and serves with the cached endpoint list. It calls
// discovery from the generation of that list.
func TestCachedEndpointListIsUsedDuringAnOutage(t *testing.T) {
	server := testkit.NewRecordingServer(t, testkit.OK)
	discovery := testkit.NewFakeDiscovery(t)
	discovery.SetUnavailable(true)
	n := startNode(t, testConfig(t, discovery, func(file map[string]any) {
		file["known"] = endpointjson.List{
			Generation: 7, Reset: true, Endpoints: []endpointjson.Endpoint{server.Endpoint("s-0")},
		}
	}))
	n.awaitReadiness(http.StatusOK)
	n.wantStatus("read", http.StatusOK)
	wantWatchQuery(t, discovery, "after=7")
}

// Generation 0 is valid: after a list of generation 0, the node watches for changes since that generation and does not
// request the complete list again.
func TestGenerationZeroIsWatched(t *testing.T) {
	_, discovery := startReadyNode(t, testkit.NewRecordingServer(t, testkit.OK))
	testkit.Receive(t, discovery.Queries, "the first call to discovery")
	wantWatchQuery(t, discovery, "after=0")
}

// In polling mode, the balancer requests each call to discovery. A node that did not make these calls would get no
// endpoint list.
func TestPollingNodeGetsTheEndpointList(t *testing.T) {
	server := testkit.NewRecordingServer(t, testkit.OK)
	n := startReadyNodeWithConfig(t, server.Endpoint("s-0"), func(file map[string]any) {
		file["settings"] = settingsWithMode("on_request")
	})
	n.wantStatus("read", http.StatusOK)
}
