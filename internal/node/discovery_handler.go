package node

import (
	"sync/atomic"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/internal/processstart"
	"calicohinge/policy"
)

// discoveryHandler implements discovery.Handler: it converts what the discovery client reports into events
// of the loop. Its methods are called in the discovery client's goroutine.
type discoveryHandler struct {
	clock         *clock
	queue         *eventQueue
	processStarts *processstart.Registry
	zones         map[string]int // indexes of the configured zones by name
	synced        atomic.Bool    // the node has an endpoint list; any goroutine may read it
}

// UpdateEndpoints implements discovery.Handler. It skips endpoints without an ID, and those that are ready but
// have no address.
func (d *discoveryHandler) UpdateEndpoints(kind policy.UpdateKind, list []endpoint.Endpoint) {
	update := endpointsUpdated{kind: kind}
	starts := d.processStarts.Update(kind, list, processstart.Moment{Clock: d.clock.now(), Wall: time.Now()})
	for i, e := range list {
		if e.ID == 0 || (e.Address == "" && e.State == policy.Ready) {
			continue
		}
		update.forPool = append(update.forPool, e)
		update.forBalancer = append(update.forBalancer, d.policyEndpoint(e, starts[i]))
	}
	d.queue.post(update)
}

// Synced implements discovery.Handler.
func (d *discoveryHandler) Synced() {
	d.processStarts.Synced(d.clock.now())
	d.synced.Store(true)
}

// WatchFailed implements discovery.Handler.
func (d *discoveryHandler) WatchFailed(notifiedAt time.Time) {
	d.queue.post(watchFailed{d.clock.fromTime(notifiedAt)})
}

// policyEndpoint converts an endpoint of discovery into the balancer's terms.
func (d *discoveryHandler) policyEndpoint(e endpoint.Endpoint, startedAt time.Duration) policy.Endpoint {
	zone, configured := d.zones[e.Zone]
	if !configured {
		zone = len(d.zones) // the index of no zone
	}
	return policy.Endpoint{
		Server:    e.ID,
		Zone:      zone,
		Cell:      e.Cell,
		State:     e.State,
		Weight:    max(0, e.Weight),
		StartedAt: startedAt,
	}
}
