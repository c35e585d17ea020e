package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"calicohinge/internal/balancertest"
	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
)

const (
	warmServers             = 7                      // number of servers in the list before the new server
	slowStartShare          = 0.1                    // fraction of an equal share at the start of slow start
	slowStartTime           = 9 * time.Second        // time from the start of the new server until it is warm
	measurementTime         = 800 * time.Millisecond // how long requests are counted from the start of the new server
	slowStartClients        = 4                      // number of clients that send requests concurrently
	loadTimeBeforeStart     = 500 * time.Millisecond // how long the clients send before the new server starts
	slowStartRequestTimeout = 200 * time.Millisecond // timeout of each request
)

// The endpoint list gives a server's start time in wall-clock time, so that a node with a wrong wall clock could
// consider a new server warm. The new server must get no more requests than slow start allows, whatever the error of
// the clock.
func TestSlowStartIsIndependentOfTheWallClock(t *testing.T) {
	program := balancertest.BuildInstrumented(t)
	for _, ahead := range []time.Duration{
		0, 5 * time.Second, 30 * time.Second, time.Hour, -30 * time.Second, -time.Hour,
	} {
		t.Run(fmt.Sprintf("clock ahead by %v", ahead), func(t *testing.T) {
			t.Parallel()
			testSlowStart(t, program, ahead)
		})
	}
}

// testSlowStart starts a node whose wall clock is ahead by some time, and checks the share of the requests that a new
// server gets within measurementTime.
func testSlowStart(t *testing.T, program string, ahead time.Duration) {
	t.Helper()
	servers := newCountingServers(t, warmServers+1)
	list := newWatchedList(servers.endpoints[:warmServers]...)
	service := testkit.NewPartitionableService(t, list.respond)
	options := balancertest.Options{Env: []string{balancertest.NewWallClock(t, ahead).Env()}}
	process := balancertest.StartWithOptions(t, options, map[string]any{
		"discovery": service.Address,
		"settings": settingsWith(fmt.Sprintf(`"RegistryMode": "pushed", "Contract": {"ColdFrom": %v, "ColdMs": %d}`,
			slowStartShare, slowStartTime.Milliseconds())),
	}, program)
	addr := testkit.Receive(t, process.Addr, "the process to serve")
	balancertest.AwaitReady(t, addr)
	stopClients := startSlowStartClients(t, addr)
	time.Sleep(loadTimeBeforeStart)

	newServer := servers.endpoints[warmServers]
	newServer.StartedUnixMilli = float64(time.Now().UnixMilli())
	before := servers.total()
	list.set(endpointjson.List{Generation: 2, Endpoints: []endpointjson.Endpoint{newServer}})
	time.Sleep(measurementTime)
	received, total := servers.counts[warmServers].Load(), servers.total()-before
	stopClients()

	// An equal share of the requests is 1/(warmServers+1). The new server may get at most the fraction of this share
	// that slow start has reached at the end of the measurement.
	share := float64(received) / float64(total)
	capacityShare := slowStartShare + (1-slowStartShare)*measurementTime.Seconds()/slowStartTime.Seconds()
	maxShare := capacityShare / (warmServers + 1)
	t.Logf("the new server got %d of %d requests, a share of %.4f; want %.4f at most", received, total, share, maxShare)
	if share > maxShare {
		t.Errorf("new server's share of the requests in its first %v with a clock ahead by %v: got %.4f, want %.4f at most",
			measurementTime, ahead, share, maxShare)
	}
}

// startSlowStartClients starts clients that send requests. The returned function stops the clients and waits for them.
func startSlowStartClients(t *testing.T, addr string) func() {
	t.Helper()
	var clients sync.WaitGroup
	var stopped atomic.Bool
	for i := range slowStartClients {
		client := loadClient{addr: addr, name: fmt.Sprintf("c%d", i), timeout: slowStartRequestTimeout, keepAlive: true}
		clients.Go(func() { client.sendUntilStopped(t, &stopped) })
	}
	return func() {
		stopped.Store(true)
		clients.Wait()
	}
}

// countingServers are servers that count the requests that they receive.
type countingServers struct {
	counts    []atomic.Int64 // number of received requests per endpoint, in the order of endpoints
	endpoints []endpointjson.Endpoint
}

// newCountingServers starts a number of servers, which stop at the end of the test.
func newCountingServers(t *testing.T, count int) *countingServers {
	t.Helper()
	servers := &countingServers{counts: make([]atomic.Int64, count)}
	for i := range servers.counts {
		server := testkit.NewRecordingServer(t, func(w http.ResponseWriter, r *http.Request) {
			servers.counts[i].Add(1)
			testkit.OK(w, r)
		})
		servers.endpoints = append(servers.endpoints, server.Endpoint(fmt.Sprintf("s-%d", i)))
	}
	return servers
}

// total returns the number of requests that all servers together have received.
func (s *countingServers) total() int64 {
	sum := int64(0)
	for i := range s.counts {
		sum += s.counts[i].Load()
	}
	return sum
}
