package node

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
)

// discoveryModes returns the values of the setting RegistryMode: the ways in which a node follows the endpoint list.
func discoveryModes() []string { return []string{"pushed", "on_request"} }

// settingsWithMode returns settingsJSON with a value of RegistryMode.
func settingsWithMode(mode string) testkit.JSON {
	return testkit.JSON(strings.Replace(settingsJSON, "pushed", mode, 1))
}

// startWithScriptedDiscovery starts a node that calls a discovery service whose responses the test sends one by one.
// The function change, unless it is nil, alters the configuration.
func startWithScriptedDiscovery(
	t *testing.T, mode string, change func(file map[string]any),
) (*testNode, *testkit.ScriptedDiscovery) {
	t.Helper()
	scripted := testkit.NewScriptedDiscovery(t)
	n := startNode(t, testConfig(t, testkit.NewFakeDiscovery(t), func(file map[string]any) {
		file["discovery"] = scripted.Address
		file["settings"] = settingsWithMode(mode)
		if change != nil {
			change(file)
		}
	}))
	return n, scripted
}

// withLargeFleet returns a change to the configuration that makes the node one of 650. The node then polls the
// discovery service at the given address rarely, with up to 30 s between two polls.
func withLargeFleet(discovery string) func(file map[string]any) {
	return func(file map[string]any) {
		file["discovery"] = discovery
		text := strings.Replace(settingsJSON, "pushed", "on_request", 1)
		file["settings"] = testkit.JSON(strings.Replace(text, `"Limits"`,
			`"Balancers": 650, "Me": 649, "Contract": {"MustAskInMs": 30000}, "Limits"`, 1))
	}
}

// listJSON returns an endpoint list in the format in which discovery sends it.
func listJSON(t *testing.T, list endpointjson.List) string {
	t.Helper()
	text, err := json.Marshal(list)
	if err != nil {
		t.Fatalf("json.Marshal(%+v): %v", list, err)
	}
	return string(text)
}

// draining returns a copy of an endpoint, with the lifecycle of a server that drains.
func draining(e endpointjson.Endpoint) endpointjson.Endpoint {
	e.Lifecycle = "Terminating"
	return e
}

// wantQueryPrefix fails the test unless the query of a call to discovery starts with the wanted text. If that text is
// empty, the query must be empty too.
func wantQueryPrefix(t *testing.T, call *http.Request, want string) {
	t.Helper()
	query := call.URL.RawQuery
	if !strings.HasPrefix(query, want) || want == "" && query != "" {
		t.Errorf("call to discovery: query %q, want prefix %q (\"\" for no query)", query, want)
	}
}

// wantWatchQuery waits for the next call to discovery and fails the test unless the query contains the wanted text.
func wantWatchQuery(t *testing.T, discovery *testkit.FakeDiscovery, want string) {
	t.Helper()
	if query := testkit.Receive(t, discovery.Queries, "the next call to discovery"); !strings.Contains(query, want) {
		t.Errorf("next call to discovery: query %q, want it to contain %q", query, want)
	}
}
