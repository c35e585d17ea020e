package node

import (
	"net/http"
	"strings"
	"testing"

	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
)

func TestDiscoveryOutageIsSurvived(t *testing.T) {
	b := testkit.NewBackend(t, testkit.OK)
	d := testkit.NewRegistry(t)
	d.SetDown(true)
	n := start(t, testConfig(t, d, nil))
	testkit.Wait(t, d.Queries, "a first call")
	testkit.Wait(t, d.Queries, "a call after the failed one")
	n.waitReady(http.StatusServiceUnavailable)
	d.SetEndpoints(b.Endpoint("s-0"))
	d.SetDown(false)
	n.waitReady(http.StatusOK)
	if a := n.do(n.request("read")); a.status != http.StatusOK {
		t.Errorf("status %d", a.status)
	}
	d.SetDown(true) // the list stays
	if a := n.do(n.request("read")); a.status != http.StatusOK {
		t.Errorf("status %d while discovery is down", a.status)
	}
}

// Discovery moves, as after SIGHUP, more than once: the old watch ends, the new address is
// asked for the full list, whatever its generation, and the node serves and stays ready
// throughout, also while the new address doesn't answer.
func TestDiscoveryAtANewAddressIsFollowed(t *testing.T) {
	a, b := testkit.NewBackend(t, testkit.OK), testkit.NewBackend(t, testkit.OK)
	old := testkit.NewRegistry(t, a.Endpoint("s-a"))
	n := start(t, testConfig(t, old, nil))
	n.waitReady(http.StatusOK)
	next := testkit.NewRegistry(t, b.Endpoint("s-b"))
	for len(old.Queries) > 0 {
		<-old.Queries
	}
	n.node.SetDiscoveryAddress(testkit.FreeAddr(t)) // nobody there yet
	if r := n.do(n.request("read")); r.status != http.StatusOK {
		t.Errorf("status %d while discovery is away", r.status)
	}
	n.node.SetDiscoveryAddress(next.Listener.Addr().String())
	if q := testkit.Wait(t, next.Queries, "the first call"); q != "" {
		t.Errorf("the new address is queried with %q", q)
	}
	testkit.Wait(t, next.Queries, "the watch")
	n.waitReady(http.StatusOK)
	for len(a.Requests) > 0 {
		<-a.Requests
	}
	if r := n.do(n.request("read")); r.status != http.StatusOK || len(a.Requests) > 0 || len(b.Requests) == 0 {
		t.Errorf("status %d; %d sends to the server of the old list", r.status, len(a.Requests))
	}
	next.SetEndpointsAndWait(t)
	if r := n.do(n.request("read")); r.status != http.StatusServiceUnavailable {
		t.Errorf("status %d: the new address is not watched", r.status)
	}
	n.node.SetDiscoveryAddress(old.Listener.Addr().String())
	for q := range old.Queries {
		if q == "" {
			break
		}
	}
	testkit.Wait(t, old.Queries, "the watch")
	if r := n.do(n.request("read")); r.status != http.StatusOK {
		t.Errorf("status %d after the move back", r.status)
	}
}

// The cached endpoint list serves while discovery is down.
func TestCachedEndpointListServesDuringAnOutage(t *testing.T) {
	b := testkit.NewBackend(t, testkit.OK)
	d := testkit.NewRegistry(t)
	d.SetDown(true)
	n := start(t, testConfig(t, d, func(file map[string]any) {
		file["known"] = endpointjson.List{Generation: 7, Reset: true, Endpoints: []endpointjson.Endpoint{b.Endpoint("s-0")}}
	}))
	n.waitReady(http.StatusOK)
	if a := n.do(n.request("read")); a.status != http.StatusOK {
		t.Errorf("status %d", a.status)
	}
	if q := testkit.Wait(t, d.Queries, "a watch"); !strings.Contains(q, "after=7") {
		t.Errorf("the watch has the query %q", q)
	}
}

// Generation 0 is one like others: a list that has it must be watched from there, not
// fetched again and again.
func TestGenerationZeroIsWatched(t *testing.T) {
	b := testkit.NewBackend(t, testkit.OK)
	_, d := startReady(t, b)
	testkit.Wait(t, d.Queries, "the first call")
	if q := testkit.Wait(t, d.Queries, "the watch"); !strings.Contains(q, "after=0") {
		t.Errorf("the second call has the query %q", q)
	}
}

// Where the list is polled, the balancer decides when.
func TestPolledEndpointListIsRequested(t *testing.T) {
	b := testkit.NewBackend(t, testkit.OK)
	d := testkit.NewRegistry(t, b.Endpoint("s-0"))
	n := start(t, testConfig(t, d, func(file map[string]any) {
		file["settings"] = testkit.JSON(strings.Replace(settingsText, "pushed", "on_request", 1))
	}))
	n.waitReady(http.StatusOK)
	if a := n.do(n.request("read")); a.status != http.StatusOK {
		t.Errorf("status %d", a.status)
	}
}
