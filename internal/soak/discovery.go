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
	maxSlowDelay      = 700 * time.Millisecond // longest delay of a response while the service is slow
	snapshotShare     = 0.3                    // share of responses to watches that are snapshots
	omitDrainingShare = 0.5                    // share of snapshots that omit draining servers
)

// discovery is the discovery service. Each incarnation of a node starts with a new address of the service, and each
// reload of the configuration changes to another new address.
type discovery struct {
	t      *testing.T
	record *history.Discovery

	mu         sync.Mutex
	changes    [][]endpointjson.Endpoint        // the changed endpoints of each generation, starting with generation 1
	current    map[string]endpointjson.Endpoint // the endpoints of the latest generation, by ID
	changed    chan struct{}                    // closed to end the wait of the pending watches, then replaced
	fault      scenario.DiscoveryFault          // the current fault
	faultStart time.Time                        // when fault was last set; zero if never
	services   []*testkit.PartitionableService  // one for each address of the service
}

func newDiscovery(t *testing.T, record *history.Discovery) *discovery {
	t.Helper()
	return &discovery{
		t: t, record: record, current: map[string]endpointjson.Endpoint{}, changed: make(chan struct{}),
	}
}

// newAddress returns a new address of the service for an incarnation of a node. The endpoint lists that are requested
// at this address are recorded as delivered to the incarnation.
func (d *discovery) newAddress(incarnation *history.Incarnation) string {
	service := testkit.NewPartitionableService(d.t, func(r *http.Request) testkit.Response {
		return d.respond(incarnation, r)
	})
	d.mu.Lock()
	d.services = append(d.services, service)
	unresponsive := d.fault == scenario.DiscoveryUnresponsive
	d.mu.Unlock()
	if unresponsive {
		service.Partition(d.t)
	}
	return service.Address
}

// publish publishes changed endpoints as a new generation of the endpoint list and returns the generation.
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

// completeWatches ends the wait of all pending watches, so that they get their responses. The caller holds d.mu.
func (d *discovery) completeWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// setFault starts a fault, which replaces the current one. DiscoveryHealthy only ends the current fault.
func (d *discovery) setFault(fault scenario.DiscoveryFault) {
	previous, services := d.replaceFault(fault)
	var partitions sync.WaitGroup
	for _, service := range services {
		switch {
		case fault == scenario.DiscoveryUnresponsive:
			partitions.Go(func() { service.Partition(d.t) })
		case previous == scenario.DiscoveryUnresponsive:
			service.Heal(d.t)
		}
	}
	partitions.Wait()
}

// replaceFault sets the fault. If the previous fault made the service unreachable, replaceFault records the outage. It
// returns the previous fault and the services of all addresses.
func (d *discovery) replaceFault(
	fault scenario.DiscoveryFault,
) (scenario.DiscoveryFault, []*testkit.PartitionableService) {
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
	return previous, slices.Clone(d.services)
}

// listQuery is the query of a call for the endpoint list.
type listQuery struct {
	watch bool   // whether the call waits for a generation later than the one in the field after
	after uint64 // the latest generation that the node has received; only valid if watch is true
}

// parseQuery returns the query of a call. A call without a valid generation is not a watch.
func parseQuery(r *http.Request) listQuery {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	return listQuery{watch: err == nil, after: after}
}

// respond returns the response to a call from an incarnation of a node.
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
		d.t.Errorf("marshal the endpoint list of generation %d: %v", list.Generation, err)
	}
	return testkit.Response{
		Status: http.StatusOK, Body: string(text), Sent: func() { incarnation.RecordDelivery(list.Generation) },
	}
}

// awaitChange blocks a watch of an up-to-date node until the endpoint list or the fault changes, or until the wait
// time that the watch requests has passed. It does not block if the service has a fault.
func (d *discovery) awaitChange(requested listQuery, r *http.Request) {
	d.mu.Lock()
	changed, generation, fault := d.changed, uint64(len(d.changes)), d.fault
	d.mu.Unlock()
	upToDate := requested.watch && requested.after >= generation
	if upToDate && fault == scenario.DiscoveryHealthy {
		testkit.LongPoll(r, changed)
	}
}

// list returns the endpoint list for a query: a snapshot, or a delta for some of the watches.
func (d *discovery) list(requested listQuery) endpointjson.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	if requested.watch && rand.Float64() >= snapshotShare {
		return d.delta(requested.after)
	}
	return d.snapshot()
}

// delta returns a delta: the endpoints that changed after the given generation, each in its latest state. The caller
// holds d.mu.
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

// listOf returns the complete list of a generation, which is empty for generation 0.
func (d *discovery) listOf(generation uint64) endpointjson.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	latest := map[string]endpointjson.Endpoint{}
	for _, endpoints := range d.changes[:generation] {
		for _, e := range endpoints {
			latest[e.InstanceID] = e
		}
	}
	list := endpointjson.List{Generation: generation, Reset: true}
	for _, e := range latest {
		if e.Lifecycle != lifecycleRemoved {
			list.Endpoints = append(list.Endpoints, e)
		}
	}
	return list
}

// snapshot returns a snapshot. With the probability omitDrainingShare, it omits the draining servers. The caller holds
// d.mu.
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
