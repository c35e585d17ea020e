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
	warmServers             = 7
	slowStartShare          = 0.1
	slowStartTime           = 9 * time.Second
	measurementTime         = 800 * time.Millisecond // in which the requests to the new server are counted
	slowStartClients        = 4
	loadTimeBeforeStart     = 500 * time.Millisecond // of sending before the new server starts
	slowStartRequestTimeout = 200 * time.Millisecond // of each request
)

// A process starts on a machine whose wall clock is wrong, and a server starts later. The server gets at most
// what slow start allows, whatever that clock shows.
func TestSlowStartIsIndependentOfTheWallClock(t *testing.T) {
	program := balancertest.BuildInstrumented(t)
	for _, ahead := range []time.Duration{0, 5 * time.Second, 30 * time.Second, time.Hour, -30 * time.Second, -time.Hour} {
		t.Run(fmt.Sprintf("ahead by %v", ahead), func(t *testing.T) {
			t.Parallel()
			testSlowStart(t, program, ahead)
		})
	}
}

// testSlowStart checks the share of a new server's requests in its first moments.
func testSlowStart(t *testing.T, program string, ahead time.Duration) {
	t.Helper()
	servers := newCountingServers(t, warmServers+1)
	list := newWatchedList(servers.endpoints[:warmServers]...)
	machine := testkit.NewMachine(t, list.respond)
	options := balancertest.Options{Environment: []string{balancertest.NewWallClock(t, ahead).Environment()}}
	process := balancertest.StartWith(t, options, map[string]any{
		"discovery": machine.Address,
		"settings": settingsWith(fmt.Sprintf(`"RegistryMode": "pushed", "Contract": {"ColdFrom": %v, "ColdMs": %d}`,
			slowStartShare, slowStartTime.Milliseconds())),
	}, program)
	addr := testkit.Wait(t, process.Addr, "the process to serve")
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

	share := float64(received) / float64(total)
	capacityShare := slowStartShare + (1-slowStartShare)*measurementTime.Seconds()/slowStartTime.Seconds()
	maxShare := capacityShare / (warmServers + 1)
	t.Logf("%d of %d requests, a share of %.4f, at most %.4f are allowed", received, total, share, maxShare)
	if share > maxShare {
		t.Errorf("the new server gets a share of %.4f in its first %v, want %.4f at most", share, measurementTime, maxShare)
	}
}

// startSlowStartClients starts clients that send until the returned function is called, which waits for them.
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

// countingServers are servers that count their requests.
type countingServers struct {
	counts    []atomic.Int64
	endpoints []endpointjson.Endpoint
}

func newCountingServers(t *testing.T, count int) *countingServers {
	t.Helper()
	servers := &countingServers{counts: make([]atomic.Int64, count)}
	for i := range servers.counts {
		backend := testkit.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
			servers.counts[i].Add(1)
			testkit.OK(w, r)
		})
		servers.endpoints = append(servers.endpoints, backend.Endpoint(fmt.Sprintf("s-%d", i)))
	}
	return servers
}

// total returns how many requests all servers got.
func (s *countingServers) total() int64 {
	sum := int64(0)
	for i := range s.counts {
		sum += s.counts[i].Load()
	}
	return sum
}
