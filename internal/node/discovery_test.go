package node

import (
	"net/http"
	"testing"

	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
)

func TestDiscoveryOutageIsSurvived(t *testing.T) {
	server := testkit.NewBackend(t, testkit.OK)
	registry := testkit.NewRegistry(t)
	registry.SetDown(true)
	n := startNode(t, testConfig(t, registry, nil))
	testkit.Wait(t, registry.Queries, "a first call")
	testkit.Wait(t, registry.Queries, "a call after the failed one")
	n.awaitReadiness(http.StatusServiceUnavailable)

	registry.SetEndpoints(server.Endpoint("s-0"))
	registry.SetDown(false)
	n.awaitReadiness(http.StatusOK)
	n.wantStatus("read", http.StatusOK)

	registry.SetDown(true) // the list stays
	n.wantStatus("read", http.StatusOK)
}

// The address of discovery changes more than once, as after SIGHUP. The old watch ends, and the complete list is
// requested from the new address, whatever its generation. The node serves and stays ready throughout, also while
// the new address doesn't respond.
func TestDiscoveryAtANewAddressIsFollowed(t *testing.T) {
	oldServer, newServer := testkit.NewBackend(t, testkit.OK), testkit.NewBackend(t, testkit.OK)
	old := testkit.NewRegistry(t, oldServer.Endpoint("s-a"))
	n := startNode(t, testConfig(t, old, nil))
	n.awaitReadiness(http.StatusOK)
	next := testkit.NewRegistry(t, newServer.Endpoint("s-b"))
	for len(old.Queries) > 0 {
		<-old.Queries
	}

	n.node.SetDiscoveryAddress(testkit.FreeAddr(t)) // nobody there yet
	n.wantStatus("read", http.StatusOK)
	n.node.SetDiscoveryAddress(next.Listener.Addr().String())
	if query := testkit.Wait(t, next.Queries, "the first call"); query != "" {
		t.Errorf("first call to the new discovery address: query %q, want none", query)
	}
	testkit.Wait(t, next.Queries, "the watch")
	n.awaitReadiness(http.StatusOK)

	takeRequests(oldServer)
	n.wantStatus("read", http.StatusOK)
	if len(oldServer.Requests) > 0 || len(newServer.Requests) == 0 {
		t.Errorf("%d requests sent to the server of the old list and %d to that of the new one, want 0 and at least 1",
			len(oldServer.Requests), len(newServer.Requests))
	}
	next.SetEndpointsAndWait(t)
	n.wantStatus("read", http.StatusServiceUnavailable) // the new address is watched

	n.node.SetDiscoveryAddress(old.Listener.Addr().String())
	for query := range old.Queries {
		if query == "" {
			break
		}
	}
	testkit.Wait(t, old.Queries, "the watch")
	n.wantStatus("read", http.StatusOK)
}

// The cached endpoint list serves while discovery is down.
func TestCachedEndpointListServesDuringAnOutage(t *testing.T) {
	server := testkit.NewBackend(t, testkit.OK)
	registry := testkit.NewRegistry(t)
	registry.SetDown(true)
	n := startNode(t, testConfig(t, registry, func(file map[string]any) {
		file["known"] = endpointjson.List{
			Generation: 7, Reset: true, Endpoints: []endpointjson.Endpoint{server.Endpoint("s-0")},
		}
	}))
	n.awaitReadiness(http.StatusOK)
	n.wantStatus("read", http.StatusOK)
	wantWatchQuery(t, registry, "after=7")
}

// Generation 0 is an ordinary generation: a list that has it is watched from there, and not requested in full again.
func TestGenerationZeroIsWatched(t *testing.T) {
	_, registry := startReadyNode(t, testkit.NewBackend(t, testkit.OK))
	testkit.Wait(t, registry.Queries, "the first call")
	wantWatchQuery(t, registry, "after=0")
}

// In polling mode the balancer requests the list.
func TestPolledEndpointListIsRequested(t *testing.T) {
	server := testkit.NewBackend(t, testkit.OK)
	n := startReadyNodeWithConfig(t, server.Endpoint("s-0"), func(file map[string]any) {
		file["settings"] = settingsWithMode("on_request")
	})
	n.wantStatus("read", http.StatusOK)
}
