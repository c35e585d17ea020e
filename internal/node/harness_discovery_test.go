package node

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
)

// discoveryModes are the ways to follow the endpoint list, as the settings name them.
func discoveryModes() []string { return []string{"pushed", "on_request"} }

// settingsWithMode returns the settings with a discovery mode.
func settingsWithMode(mode string) testkit.JSON {
	return testkit.JSON(strings.Replace(settingsJSON, "pushed", mode, 1))
}

// startWithScriptedDiscovery starts a node before a discovery service whose responses the test gives. change
// may alter its configuration.
func startWithScriptedDiscovery(
	t *testing.T, mode string, change func(file map[string]any),
) (*testNode, *testkit.ScriptedDiscovery) {
	t.Helper()
	scripted := testkit.NewScriptedDiscovery(t)
	n := startNode(t, testConfig(t, testkit.NewRegistry(t), func(file map[string]any) {
		file["discovery"] = scripted.Address
		file["settings"] = settingsWithMode(mode)
		if change != nil {
			change(file)
		}
	}))
	return n, scripted
}

// withLargeFleet returns a change of the configuration to that of a node among many, which seldom polls the
// discovery service at an address.
func withLargeFleet(discovery string) func(file map[string]any) {
	return func(file map[string]any) {
		file["discovery"] = discovery
		text := strings.Replace(settingsJSON, "pushed", "on_request", 1)
		file["settings"] = testkit.JSON(strings.Replace(text, `"Limits"`,
			`"Balancers": 650, "Me": 649, "Contract": {"MustAskInMs": 30000}, "Limits"`, 1))
	}
}

// listJSON returns an endpoint list as discovery sends it.
func listJSON(t *testing.T, list endpointjson.List) string {
	t.Helper()
	text, err := json.Marshal(list)
	if err != nil {
		t.Fatalf("json.Marshal(%+v): %v", list, err)
	}
	return string(text)
}

// draining returns an endpoint as one that drains.
func draining(e endpointjson.Endpoint) endpointjson.Endpoint {
	e.Lifecycle = "Terminating"
	return e
}

// wantQueryPrefix fails the test unless a call's query starts with the wanted text, or is empty if that is "".
func wantQueryPrefix(t *testing.T, call *http.Request, want string) {
	t.Helper()
	query := call.URL.RawQuery
	if !strings.HasPrefix(query, want) || want == "" && query != "" {
		t.Errorf("discovery was called with query %q, want prefix %q (\"\": no query)", query, want)
	}
}

// wantWatchQuery waits for the next call to a registry, and fails the test unless its query contains a text.
func wantWatchQuery(t *testing.T, registry *testkit.Registry, want string) {
	t.Helper()
	if query := testkit.Wait(t, registry.Queries, "the next call to discovery"); !strings.Contains(query, want) {
		t.Errorf("discovery was called with query %q, want %q in it", query, want)
	}
}
