package main

import (
	"fmt"
	"testing"
	"time"

	"calicohinge/internal/balancertest"
	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
	"calicohinge/policy"
)

// While a network partition cuts off discovery, the node's watch is unresponsive and its attempts to connect time out.
// However long this lasts, the node must be notified of a new list within the notification deadline after the end of
// the partition.
func TestDiscoveryIsFollowedAfterANetworkPartition(t *testing.T) {
	program := balancertest.Build(t)
	for _, mode := range discoveryModes() {
		for _, duration := range []time.Duration{8 * time.Second, 50 * time.Second} {
			t.Run(fmt.Sprintf("%s, partitioned for %v", mode, duration), func(t *testing.T) {
				t.Parallel()
				testPartition(t, program, mode, duration)
			})
		}
	}
}

// testPartition cuts off the discovery service and changes the endpoint list meanwhile: one server starts to drain and
// another server is added. It measures the time from the end of the partition until the node has the new list.
func testPartition(t *testing.T, program, mode string, duration time.Duration) {
	t.Helper()
	firstServer, secondServer := testkit.NewRecordingServer(t, testkit.OK), testkit.NewRecordingServer(t, testkit.OK)
	list := newWatchedList(firstServer.Endpoint("s-0"))
	service := testkit.NewPartitionableService(t, list.respond)
	process := balancertest.Start(t, map[string]any{
		"discovery": service.Address,
		"settings":  settingsWith(fmt.Sprintf(`"RegistryMode": %q, "Contract": {"DrainGraceMs": 1000}`, mode)),
	}, program)
	addr := testkit.Receive(t, process.Addr, "the process to serve")
	balancertest.AwaitReady(t, addr)
	if body := post(addr); body != "done" {
		t.Fatalf("response before the partition is %q, want %q", body, "done")
	}

	service.Partition(t)
	time.Sleep(duration) // the partition lasts this long
	draining := firstServer.Endpoint("s-0")
	draining.Lifecycle = "Terminating"
	list.set(endpointjson.List{
		Generation: 2, Reset: true, Endpoints: []endpointjson.Endpoint{draining, secondServer.Endpoint("s-1")},
	})
	service.Heal(t)
	healed := time.Now()

	list.awaitWatch(t, 2)
	took := time.Since(healed)
	t.Logf("the node had the new list %v after the partition", took.Round(time.Millisecond))
	if took > policy.NotificationDeadline {
		t.Errorf("time from the end of a partition of %v until the node had the new list: got %v, want %v at most",
			duration, took, policy.NotificationDeadline)
	}
}
