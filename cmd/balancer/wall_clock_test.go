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

// A process starts on a machine whose wall clock is wrong, and a server starts later: it gets what slow
// start allows, whatever that clock shows.
func TestNewServerWarmsUpWhateverTheWallClockShows(t *testing.T) {
	program := balancertest.BuildSteppable(t)
	for _, ahead := range []time.Duration{0, 5 * time.Second, 30 * time.Second, time.Hour, -30 * time.Second, -time.Hour} {
		t.Run(fmt.Sprintf("ahead by %v", ahead), func(t *testing.T) {
			t.Parallel()
			testNewServerWarmsUp(t, program, ahead)
		})
	}
}

const (
	warmServers      = 7
	slowStartShare   = 0.1
	slowStartTime    = 9 * time.Second
	firstMoments     = 800 * time.Millisecond // of the new server
	warmUpClients    = 4
	warmUpClientTime = 500 * time.Millisecond // of sending before the new server starts
)

func testNewServerWarmsUp(t *testing.T, program string, ahead time.Duration) {
	t.Helper()
	counts := make([]atomic.Int64, warmServers+1)
	var endpoints []endpointjson.Endpoint
	for i := range counts {
		backend := testkit.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
			counts[i].Add(1)
			testkit.OK(w, r)
		})
		endpoints = append(endpoints, backend.Endpoint(fmt.Sprintf("s-%d", i)))
	}
	list := newWatchedList(endpointjson.List{Generation: 1, Reset: true, Endpoints: endpoints[:warmServers]})
	machine := testkit.NewMachine(t, list.answer)
	started := balancertest.StartWith(t, balancertest.Options{Environment: []string{balancertest.NewWallClock(t, ahead).Environment()}}, map[string]any{
		"discovery": machine.Address,
		"settings": moreSettings(fmt.Sprintf(`"RegistryMode": "pushed", "Contract": {"ColdFrom": %v, "ColdMs": %d}`,
			slowStartShare, slowStartTime.Milliseconds())),
	}, program)
	addr := testkit.Wait(t, started.Addr, "the process to serve")
	balancertest.AwaitReady(t, addr)
	var clients sync.WaitGroup
	var ended atomic.Bool
	for i := range warmUpClients {
		client := shutdownClient{addr: addr, name: fmt.Sprintf("c%d", i), keepAlive: true}
		clients.Go(func() { client.sendUntil(t, &ended) })
	}
	time.Sleep(warmUpClientTime)
	newServer := endpoints[warmServers]
	newServer.StartedUnixMilli = float64(time.Now().UnixMilli())
	before := total(counts)
	list.set(endpointjson.List{Generation: 2, Endpoints: []endpointjson.Endpoint{newServer}})
	time.Sleep(firstMoments)
	got, all := counts[warmServers].Load(), total(counts)-before
	ended.Store(true)
	clients.Wait()
	share := float64(got) / float64(all)
	capacityShare := slowStartShare + (1-slowStartShare)*firstMoments.Seconds()/slowStartTime.Seconds()
	most := capacityShare / (warmServers + 1)
	t.Logf("%d of %d requests, a share of %.4f, at most %.4f are allowed", got, all, share, most)
	if share > most {
		t.Errorf("the new server gets a share of %.4f in its first %v, want %.4f at most", share, firstMoments, most)
	}
}

func total(counts []atomic.Int64) (sum int64) {
	for i := range counts {
		sum += counts[i].Load()
	}
	return sum
}

// sendUntil sends requests one after another until ended is set.
func (c *shutdownClient) sendUntil(t *testing.T, ended *atomic.Bool) {
	t.Helper()
	for !ended.Load() {
		if _, err := c.connect(); err != nil {
			t.Error(err)
			return
		}
		c.sent++
		if _, err := c.roundTrip(); err != nil {
			t.Error(err)
		}
	}
}
