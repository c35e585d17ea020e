package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
	"calicohinge/policy"
)

// discoveryFault is how the discovery service fails for a while.
type discoveryFault int

const (
	faultNone        discoveryFault = iota
	faultSilent                     // its machine says nothing
	faultUnavailable                // calls are answered with status 503
	faultReset                      // their connections are reset
	faultSlow                       // answers take time; it counts as reachable
)

// soakChange is a version of the endpoint list.
type soakChange struct {
	generation uint64
	at         time.Time
	endpoints  []endpointjson.Endpoint // that changed
}

// interval is a span of time.
type interval struct{ from, to time.Time }

// soakDiscovery is the discovery service, at one address for each configuration of each node.
type soakDiscovery struct {
	t *testing.T

	mu        sync.Mutex
	changes   []soakChange
	current   map[string]endpointjson.Endpoint // by ID
	changed   chan struct{}                    // closed at the next change or fault
	fault     discoveryFault
	faultFrom time.Time
	faults    []interval // that are over and kept it from being reached
	machines  []*testkit.Machine
}

func newSoakDiscovery(t *testing.T) *soakDiscovery {
	return &soakDiscovery{t: t, current: map[string]endpointjson.Endpoint{}, changed: make(chan struct{})}
}

// address returns a new address, for one incarnation of a node.
func (d *soakDiscovery) address(incarnation *soakIncarnation) string {
	machine := testkit.NewMachine(d.t, func(r *http.Request) testkit.Response { return d.answer(incarnation, r) })
	d.mu.Lock()
	d.machines = append(d.machines, machine)
	silent := d.fault == faultSilent
	d.mu.Unlock()
	if silent {
		machine.Partition(d.t)
	}
	return machine.Address
}

// publish makes a new version of the list and returns its generation.
func (d *soakDiscovery) publish(endpoints ...endpointjson.Endpoint) (generation uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range endpoints {
		d.current[e.InstanceID] = e
		if e.Lifecycle == "Gone" {
			delete(d.current, e.InstanceID)
		}
	}
	generation = uint64(len(d.changes) + 1)
	d.changes = append(d.changes, soakChange{generation, time.Now(), endpoints})
	d.wake()
	return generation
}

// wake ends the waits of all calls. The caller holds d.mu.
func (d *soakDiscovery) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// fail begins a fault, or ends the present one with faultNone.
func (d *soakDiscovery) fail(fault discoveryFault) {
	d.mu.Lock()
	if d.fault != faultNone && d.fault != faultSlow {
		d.faults = append(d.faults, interval{d.faultFrom, time.Now()})
	}
	former := d.fault
	d.fault, d.faultFrom = fault, time.Now()
	if fault != faultSilent {
		d.wake()
	}
	machines := append([]*testkit.Machine(nil), d.machines...)
	d.mu.Unlock()
	var done sync.WaitGroup
	for _, machine := range machines {
		switch {
		case fault == faultSilent:
			done.Go(func() { machine.Partition(d.t) })
		case former == faultSilent:
			machine.Heal(d.t)
		}
	}
	done.Wait()
}

const (
	slowAnswer    = 700 * time.Millisecond
	completeShare = 0.3 // of the answers to watches
	withoutShare  = 0.5 // of the complete lists leave out servers that drain
)

// answer answers a call of an incarnation of a node.
func (d *soakDiscovery) answer(incarnation *soakIncarnation, r *http.Request) testkit.Response {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	watch := err == nil
	d.mu.Lock()
	changed, generation, fault := d.changed, uint64(len(d.changes)), d.fault
	d.mu.Unlock()
	if watch && after >= generation && fault == faultNone {
		testkit.LongPoll(r, changed)
	}
	d.mu.Lock()
	fault = d.fault
	d.mu.Unlock()
	switch fault {
	case faultUnavailable:
		return testkit.Response{Status: http.StatusServiceUnavailable, Body: "down"}
	case faultReset:
		return testkit.Response{}
	case faultSlow:
		time.Sleep(time.Duration(rand.Float64() * float64(slowAnswer)))
	case faultNone, faultSilent:
	}
	list := d.list(after, watch)
	text, err := json.Marshal(list)
	if err != nil {
		d.t.Error(err)
	}
	return testkit.Response{
		Status: http.StatusOK, Body: string(text), Sent: func() { incarnation.delivered(list.Generation) },
	}
}

// list returns the complete list, or what changed after a generation.
func (d *soakDiscovery) list(after uint64, watch bool) endpointjson.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := endpointjson.List{Generation: uint64(len(d.changes))}
	if watch && rand.Float64() >= completeShare {
		latest := map[string]endpointjson.Endpoint{}
		for _, change := range d.changes[min(after, list.Generation):] {
			for _, e := range change.endpoints {
				latest[e.InstanceID] = e
			}
		}
		for _, e := range latest {
			list.Endpoints = append(list.Endpoints, e)
		}
		return list
	}
	list.Reset = true
	withoutDraining := rand.Float64() < withoutShare
	for _, e := range d.current {
		if e.Lifecycle == "Ready" || !withoutDraining {
			list.Endpoints = append(list.Endpoints, e)
		}
	}
	return list
}

// publishedAt returns when a generation was published.
func (d *soakDiscovery) publishedAt(generation uint64) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changes[generation-1].at
}

// reachableFrom returns the first time from which on it could be reached for a span on end.
func (d *soakDiscovery) reachableFrom(from time.Time, span time.Duration) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, fault := range d.faults {
		if fault.to.After(from) && fault.from.Before(from.Add(span)) {
			from = fault.to
		}
	}
	return from
}

// notifiedAt returns when an incarnation of a node counts as notified of a generation.
func (d *soakDiscovery) notifiedAt(incarnation *soakIncarnation, generation uint64) time.Time {
	known := d.publishedAt(generation)
	if known.Before(incarnation.startedAt) {
		known = incarnation.startedAt
	}
	notified := d.reachableFrom(known, policy.NotificationDeadline).Add(policy.NotificationDeadline)
	incarnation.mu.Lock()
	defer incarnation.mu.Unlock()
	for _, delivery := range incarnation.deliveries {
		if delivery.generation >= generation && delivery.at.Before(notified) {
			notified = delivery.at
		}
	}
	for _, hangup := range incarnation.hangups {
		due := hangup.Add(addressChangeDeadline)
		if !hangup.Before(known) && due.Before(notified) && d.reachableFrom(hangup, addressChangeDeadline).Equal(hangup) {
			notified = due
		}
	}
	return notified
}
