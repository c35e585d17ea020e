package soak

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"calicohinge/internal/endpointjson"
	"calicohinge/internal/soak/history"
	"calicohinge/internal/soak/scenario"
	"calicohinge/internal/testkit"
)

const (
	maxSlowDelay      = 700 * time.Millisecond // of a response, while the service is slow
	snapshotShare     = 0.3                    // of the responses to watches that are complete lists
	omitDrainingShare = 0.5                    // of the complete lists that leave out draining servers
)

// discovery is the discovery service. It has a new address for each configuration of each node.
type discovery struct {
	t      *testing.T
	record *history.Discovery

	mu         sync.Mutex
	changes    [][]endpointjson.Endpoint        // the endpoints that changed in each generation, from 1 on
	current    map[string]endpointjson.Endpoint // by ID
	changed    chan struct{}                    // closed at the next change or fault
	fault      scenario.DiscoveryFault
	faultStart time.Time
	machines   []*testkit.Machine
}

func newDiscovery(t *testing.T, record *history.Discovery) *discovery {
	t.Helper()
	return &discovery{
		t: t, record: record, current: map[string]endpointjson.Endpoint{}, changed: make(chan struct{}),
	}
}

// newAddress returns a new address of the service, for one incarnation of a node.
func (d *discovery) newAddress(incarnation *history.Incarnation) string {
	machine := testkit.NewMachine(d.t, func(r *http.Request) testkit.Response { return d.respond(incarnation, r) })
	d.mu.Lock()
	d.machines = append(d.machines, machine)
	unresponsive := d.fault == scenario.DiscoveryUnresponsive
	d.mu.Unlock()
	if unresponsive {
		machine.Partition(d.t)
	}
	return machine.Address
}

// publish makes a new generation of the list and returns its number.
func (d *discovery) publish(endpoints ...endpointjson.Endpoint) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range endpoints {
		d.current[e.InstanceID] = e
		if e.Lifecycle == lifecycleRemoved {
			delete(d.current, e.InstanceID)
		}
	}
	d.changes = append(d.changes, endpoints)
	d.record.RecordGeneration()
	d.completeWatches()
	return uint64(len(d.changes))
}

// completeWatches completes all pending watches. The caller holds d.mu.
func (d *discovery) completeWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// setFault begins a fault, or ends the present one with DiscoveryHealthy.
func (d *discovery) setFault(fault scenario.DiscoveryFault) {
	previous, machines := d.replaceFault(fault)
	var partitions sync.WaitGroup
	for _, machine := range machines {
		switch {
		case fault == scenario.DiscoveryUnresponsive:
			partitions.Go(func() { machine.Partition(d.t) })
		case previous == scenario.DiscoveryUnresponsive:
			machine.Heal(d.t)
		}
	}
	partitions.Wait()
}

// replaceFault records a fault. It returns the previous one, and the machines of all addresses.
func (d *discovery) replaceFault(fault scenario.DiscoveryFault) (scenario.DiscoveryFault, []*testkit.Machine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous := d.fault
	reachable := previous == scenario.DiscoveryHealthy || previous == scenario.DiscoverySlow
	if !reachable {
		d.record.RecordOutage(d.faultStart)
	}
	d.fault, d.faultStart = fault, time.Now()
	if fault != scenario.DiscoveryUnresponsive {
		d.completeWatches()
	}
	return previous, slices.Clone(d.machines)
}

// listQuery is the query of a call.
type listQuery struct {
	watch bool   // the call waits for a list newer than generation after
	after uint64 // with watch
}

// parseQuery returns the query of a call. A call that names no generation is no watch.
func parseQuery(r *http.Request) listQuery {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	return listQuery{watch: err == nil, after: after}
}

// respond responds to a call of an incarnation of a node.
func (d *discovery) respond(incarnation *history.Incarnation, r *http.Request) testkit.Response {
	requested := parseQuery(r)
	d.awaitChange(requested, r)
	d.mu.Lock()
	fault := d.fault
	d.mu.Unlock()
	switch fault {
	case scenario.DiscoveryUnavailable:
		return testkit.Response{Status: http.StatusServiceUnavailable, Body: "down"}
	case scenario.DiscoveryReset:
		return testkit.Response{}
	case scenario.DiscoverySlow:
		time.Sleep(time.Duration(rand.Float64() * float64(maxSlowDelay)))
	case scenario.DiscoveryHealthy, scenario.DiscoveryUnresponsive:
	}
	list := d.list(requested)
	text, err := json.Marshal(list)
	if err != nil {
		d.t.Error(err)
	}
	return testkit.Response{
		Status: http.StatusOK, Body: string(text), Sent: func() { incarnation.RecordDelivery(list.Generation) },
	}
}

// awaitChange blocks a watch of a healthy service until there is a newer list, or its wait is over.
func (d *discovery) awaitChange(requested listQuery, r *http.Request) {
	d.mu.Lock()
	changed, generation, fault := d.changed, uint64(len(d.changes)), d.fault
	d.mu.Unlock()
	upToDate := requested.watch && requested.after >= generation
	if upToDate && fault == scenario.DiscoveryHealthy {
		testkit.LongPoll(r, changed)
	}
}

// list returns the response to a query: the complete list, or what changed after a generation.
func (d *discovery) list(requested listQuery) endpointjson.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	if requested.watch && rand.Float64() >= snapshotShare {
		return d.delta(requested.after)
	}
	return d.snapshot()
}

// delta returns a delta: the endpoints that changed after a generation, in their latest state. The
// caller holds d.mu.
func (d *discovery) delta(after uint64) endpointjson.List {
	list := endpointjson.List{Generation: uint64(len(d.changes))}
	latest := map[string]endpointjson.Endpoint{}
	for _, endpoints := range d.changes[min(after, list.Generation):] {
		for _, e := range endpoints {
			latest[e.InstanceID] = e
		}
	}
	for _, e := range latest {
		list.Endpoints = append(list.Endpoints, e)
	}
	return list
}

// snapshot returns the complete list, at times without the draining servers. The caller holds d.mu.
func (d *discovery) snapshot() endpointjson.List {
	list := endpointjson.List{Generation: uint64(len(d.changes)), Reset: true}
	withoutDraining := rand.Float64() < omitDrainingShare
	for _, e := range d.current {
		if e.Lifecycle == lifecycleReady || !withoutDraining {
			list.Endpoints = append(list.Endpoints, e)
		}
	}
	return list
}
