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
	slowResponse           = 700 * time.Millisecond // at most, of a slow service
	completeShare          = 0.3                    // of the responses to watches
	completeWithoutDrained = 0.5                    // of the complete lists leave out servers that drain
)

// discovery is the discovery service, at one address for each configuration of each node.
type discovery struct {
	t      *testing.T
	record *history.Discovery

	mu        sync.Mutex
	changes   [][]endpointjson.Endpoint        // that came with each generation, from 1 on
	current   map[string]endpointjson.Endpoint // by ID
	changed   chan struct{}                    // closed at the next change or fault
	fault     scenario.DiscoveryFault
	faultFrom time.Time
	machines  []*testkit.Machine
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
	d.record.Published()
	d.wake()
	return uint64(len(d.changes))
}

// wake ends the waits of all calls. The caller holds d.mu.
func (d *discovery) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// setFault begins a fault, or ends the present one with DiscoveryHealthy.
func (d *discovery) setFault(fault scenario.DiscoveryFault) {
	previous, machines := d.changeFault(fault)
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

// changeFault records a fault. It returns the previous one, and the machines of all addresses.
func (d *discovery) changeFault(fault scenario.DiscoveryFault) (scenario.DiscoveryFault, []*testkit.Machine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous := d.fault
	if previous != scenario.DiscoveryHealthy && previous != scenario.DiscoverySlow {
		d.record.OutageEnded(d.faultFrom)
	}
	d.fault, d.faultFrom = fault, time.Now()
	if fault != scenario.DiscoveryUnresponsive {
		d.wake()
	}
	return previous, slices.Clone(d.machines)
}

// query is what a call names.
type query struct {
	watch bool   // it waits for a list that is newer than the generation
	after uint64 // that generation
}

func parseQuery(r *http.Request) query {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	return query{err == nil, after}
}

// respond responds to a call of an incarnation of a node.
func (d *discovery) respond(incarnation *history.Incarnation, r *http.Request) testkit.Response {
	query := parseQuery(r)
	d.awaitChange(query, r)
	d.mu.Lock()
	fault := d.fault
	d.mu.Unlock()
	switch fault {
	case scenario.DiscoveryUnavailable:
		return testkit.Response{Status: http.StatusServiceUnavailable, Body: "down"}
	case scenario.DiscoveryReset:
		return testkit.Response{}
	case scenario.DiscoverySlow:
		time.Sleep(time.Duration(rand.Float64() * float64(slowResponse)))
	case scenario.DiscoveryHealthy, scenario.DiscoveryUnresponsive:
	}
	list := d.list(query)
	text, err := json.Marshal(list)
	if err != nil {
		d.t.Error(err)
	}
	return testkit.Response{
		Status: http.StatusOK, Body: string(text), Sent: func() { incarnation.ListDelivered(list.Generation) },
	}
}

// awaitChange blocks a watch of a healthy service until there is a newer list, or its wait is over.
func (d *discovery) awaitChange(query query, r *http.Request) {
	d.mu.Lock()
	changed, generation, fault := d.changed, uint64(len(d.changes)), d.fault
	d.mu.Unlock()
	if query.watch && query.after >= generation && fault == scenario.DiscoveryHealthy {
		testkit.LongPoll(r, changed)
	}
}

// list returns the response to a query: the complete list, or what changed after a generation.
func (d *discovery) list(query query) endpointjson.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	if query.watch && rand.Float64() >= completeShare {
		return d.changesAfter(query.after)
	}
	return d.completeList()
}

// changesAfter returns the latest state of what changed after a generation. The caller holds d.mu.
func (d *discovery) changesAfter(after uint64) endpointjson.List {
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

// completeList returns the complete list, at times without the servers that drain. The caller holds d.mu.
func (d *discovery) completeList() endpointjson.List {
	list := endpointjson.List{Generation: uint64(len(d.changes)), Reset: true}
	withoutDraining := rand.Float64() < completeWithoutDrained
	for _, e := range d.current {
		if e.Lifecycle == lifecycleReady || !withoutDraining {
			list.Endpoints = append(list.Endpoints, e)
		}
	}
	return list
}
