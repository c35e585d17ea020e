package node

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"calicohinge/internal/discovery"
	"calicohinge/internal/endpoint"
	"calicohinge/internal/processstart"
	"calicohinge/policy"
)

// discoveryHandler implements discovery.Handler: it converts the reports of the discovery client into events for the
// loop. The discovery client calls the methods one at a time, outside the loop's goroutine.
type discoveryHandler struct {
	clock         *clock
	queue         *eventQueue
	processStarts *processstart.Registry
	addresses     *addressTable
	zones         map[string]int // indexes of the configured zones, by name
	// cached holds the endpoints of the cached list, as later updates have changed them, until the first call of Synced.
	cached map[policy.ServerID]endpoint.Endpoint
}

// UpdateEndpoints implements discovery.Handler. It skips endpoints that are not usable.
func (d *discoveryHandler) UpdateEndpoints(kind policy.UpdateKind, list endpoint.List) {
	update := endpointsUpdated{kind: kind}
	endpoints := d.addresses.update(kind, list.Endpoints)
	now := processstart.Moment{Clock: d.clock.now(), Wall: time.Now(), SentAt: list.SentAt}
	starts := d.processStarts.Update(kind, endpoints, now)
	if kind == policy.UpdateCached && len(endpoints) > 0 {
		// Processes that the cached list does not contain are assumed to have started since then, so that a wall clock
		// that is ahead does not end their slow start.
		d.processStarts.RecordResponse(d.clock.now())
		d.cached = map[policy.ServerID]endpoint.Endpoint{}
	}
	if d.cached != nil {
		for _, e := range endpoints {
			d.cached[e.ID] = e
		}
	}
	for i, e := range endpoints {
		if !isUsable(e) {
			continue
		}
		update.forPool = append(update.forPool, e)
		update.forBalancer = append(update.forBalancer, d.policyEndpoint(e, starts[i]))
	}
	d.queue.post(update)
}

// Synced implements discovery.Handler.
func (d *discoveryHandler) Synced(sentAt time.Time) {
	if d.cached != nil {
		d.correctCached(sentAt)
	}
	d.processStarts.RecordResponse(d.clock.now())
	d.queue.post(endpointsSynced{})
}

// Connected implements discovery.Handler.
func (d *discoveryHandler) Connected() { d.queue.post(discoveryConnected{}) }

// WatchFailed implements discovery.Handler.
func (d *discoveryHandler) WatchFailed(failure discovery.WatchFailure) {
	d.queue.post(watchFailed{policy.WatchFailure{
		First:          failure.First,
		NotifiedAt:     d.clock.fromTime(failure.NotifiedAt),
		CallNotifiedAt: d.clock.fromTime(failure.CallNotifiedAt),
		Refused:        failure.Kind == discovery.Refused,
	}})
}

// correctCached posts the endpoints of the cached list whose processes are warming up, although they were taken for older.
func (d *discoveryHandler) correctCached(sentAt time.Time) {
	now := processstart.Moment{Clock: d.clock.now(), Wall: time.Now(), SentAt: sentAt}
	starts := d.processStarts.CorrectCached(now)
	update := endpointsUpdated{kind: policy.UpdateDelta}
	for _, id := range slices.Sorted(maps.Keys(starts)) {
		if e := d.cached[id]; isUsable(e) {
			update.forBalancer = append(update.forBalancer, d.policyEndpoint(e, starts[id]))
		}
	}
	d.cached = nil
	if len(update.forBalancer) > 0 {
		slog.Info("starts of cached endpoints corrected", "endpoints", len(update.forBalancer))
		d.queue.post(update)
	}
}

// isUsable reports whether an endpoint has an ID, and an address if it is ready.
func isUsable(e endpoint.Endpoint) bool {
	return e.ID != 0 && (e.Address != "" || e.State != policy.EndpointReady)
}

// policyEndpoint converts an endpoint for the balancer. startedAt is the start of its process on the node's clock.
func (d *discoveryHandler) policyEndpoint(e endpoint.Endpoint, startedAt time.Duration) policy.Endpoint {
	zone, configured := d.zones[e.Zone]
	if !configured {
		zone = len(d.zones) // matches no configured zone
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
