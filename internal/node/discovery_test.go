package node

import (
	"net/http"
	"testing"

	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
)

func TestDiscoveryOutageIsSurvived(t *testing.T) {
	b := testkit.NewBackend(t, testkit.OK)
	d := testkit.NewRegistry(t)
	d.SetDown(true)
	n := startNode(t, testConfig(t, d, nil))
	testkit.Wait(t, d.Queries, "a first call")
	testkit.Wait(t, d.Queries, "a call after the failed one")
	n.awaitReadiness(http.StatusServiceUnavailable)

	d.SetEndpoints(b.Endpoint("s-0"))
	d.SetDown(false)
	n.awaitReadiness(http.StatusOK)
	n.wantStatus("read", http.StatusOK)

	d.SetDown(true) // the list stays
	n.wantStatus("read", http.StatusOK)
}

// The address of discovery changes more than once, as after SIGHUP. The old watch ends, and the complete list is
// requested from the new address, whatever its generation. The node serves and stays ready throughout, also while
// the new address doesn't respond.
func TestDiscoveryAtANewAddressIsFollowed(t *testing.T) {
	a, b := testkit.NewBackend(t, testkit.OK), testkit.NewBackend(t, testkit.OK)
	old := testkit.NewRegistry(t, a.Endpoint("s-a"))
	n := startNode(t, testConfig(t, old, nil))
	n.awaitReadiness(http.StatusOK)
	next := testkit.NewRegistry(t, b.Endpoint("s-b"))
	for len(old.Queries) > 0 {
		<-old.Queries
	}

	n.node.SetDiscoveryAddress(testkit.FreeAddr(t)) // nobody there yet
	n.wantStatus("read", http.StatusOK)
	n.node.SetDiscoveryAddress(next.Listener.Addr().String())
	if q := testkit.Wait(t, next.Queries, "the first call"); q != "" {
		t.Errorf("the new address is queried with %q", q)
	}
	testkit.Wait(t, next.Queries, "the watch")
	n.awaitReadiness(http.StatusOK)

	takeRequests(a)
	n.wantStatus("read", http.StatusOK)
	if len(a.Requests) > 0 || len(b.Requests) == 0 {
		t.Errorf("%d sends to the server of the old list, %d to the new one's", len(a.Requests), len(b.Requests))
	}
	next.SetEndpointsAndWait(t)
	n.wantStatus("read", http.StatusServiceUnavailable) // the new address is watched

	n.node.SetDiscoveryAddress(old.Listener.Addr().String())
	for q := range old.Queries {
		if q == "" {
			break
		}
	}
	testkit.Wait(t, old.Queries, "the watch")
	n.wantStatus("read", http.StatusOK)
}

// The cached endpoint list serves while discovery is down.
func TestCachedEndpointListServesDuringAnOutage(t *testing.T) {
	b := testkit.NewBackend(t, testkit.OK)
	d := testkit.NewRegistry(t)
	d.SetDown(true)
	n := startNode(t, testConfig(t, d, func(file map[string]any) {
		file["known"] = endpointjson.List{Generation: 7, Reset: true, Endpoints: []endpointjson.Endpoint{b.Endpoint("s-0")}}
	}))
	n.awaitReadiness(http.StatusOK)
	n.wantStatus("read", http.StatusOK)
	wantWatchQuery(t, d, "after=7")
}

// Generation 0 is an ordinary generation: a list that has it is watched from there, and not requested in full again.
func TestGenerationZeroIsWatched(t *testing.T) {
	_, d := startReadyNode(t, testkit.NewBackend(t, testkit.OK))
	testkit.Wait(t, d.Queries, "the first call")
	wantWatchQuery(t, d, "after=0")
}

// In polling mode the balancer requests the list.
func TestPolledEndpointListIsRequested(t *testing.T) {
	b := testkit.NewBackend(t, testkit.OK)
	n := startReadyNodeWithConfig(t, b.Endpoint("s-0"), func(file map[string]any) {
		file["settings"] = settingsWithMode("on_request")
	})
	n.wantStatus("read", http.StatusOK)
}
