package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"

	"calicohinge/internal/balancertest"
	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
)

// processesFlag names the flag that says how many processes are started at once.
const processesFlag = "processes"

func TestMain(m *testing.M) {
	flag.Int(processesFlag, 10, "how many processes TestRestartedProcessesAreReadyInTime starts at once")
	flag.Int(soakRunsFlag, 4, "how many seeds TestSoak runs")
	flag.Int(soakSeedFlag, 1, "the first seed that TestSoak runs")
	flag.String(baselineFlag, "", "another version's binary, which the benchmarks measure as well")
	flag.Parse()
	os.Exit(m.Run())
}

// flagValue returns the value of a flag of this package's tests.
func flagValue[T any](name string) T {
	return flag.Lookup(name).Value.(flag.Getter).Get().(T)
}

// baseSettings has one class; a test adds keys ahead of it with moreSettings.
const baseSettings = `{"Classes": [{"Name": "pay", "Effect": "side_effect", "DeadlineMs": 8000}], "Zones": ["a"]}`

// settingsWith returns settings with further keys.
func settingsWith(keys string) json.RawMessage {
	return json.RawMessage("{" + keys + ", " + strings.TrimPrefix(baseSettings, "{"))
}

// refusingAddr is an address at which no discovery service listens.
const refusingAddr = "127.0.0.1:1"

// discoveryModes returns the modes in which a node follows its discovery service.
func discoveryModes() []string { return []string{"pushed", "on_request"} }

// newConfigFile writes the configuration of a node that listens at an address and knows a server, without a
// discovery service.
func newConfigFile(tb testing.TB, listen, server string) balancertest.ConfigFile {
	tb.Helper()
	text, err := json.Marshal(map[string]any{
		"listen": listen, "discovery": refusingAddr, "settings": json.RawMessage(baseSettings),
		"known": snapshotOf(1, server),
	})
	if err != nil {
		tb.Fatal(err)
	}
	return balancertest.NewConfigFile(tb, text)
}

// startServer starts a server and returns its address.
func startServer(tb testing.TB, handle http.HandlerFunc) string {
	tb.Helper()
	return testkit.NewServer(tb, handle).Listener.Addr().String()
}

// snapshotOf makes a complete list of ready servers.
func snapshotOf(generation uint64, addresses ...string) endpointjson.List {
	list := endpointjson.List{Generation: generation, Reset: true}
	for i, address := range addresses {
		list.Endpoints = append(list.Endpoints, endpointjson.Endpoint{
			InstanceID: fmt.Sprintf("s-%d-%d", generation, i), Address: address,
			Lifecycle: "Ready", Zone: "a", Weight: 1,
		})
	}
	return list
}

// awaitExit waits until the program has exited, which has to be without an error.
func awaitExit(t *testing.T, exited <-chan error) {
	t.Helper()
	if err := testkit.Wait(t, exited, "the exit of the program"); err != nil {
		t.Errorf("exited with %v", err)
	}
}
