// Package processstart estimates when the server processes in the endpoint list started, on the node's monotonic
// clock. Discovery reports start times by the wall clock of the server's machine. Package policy needs them on
// the clock of its events, to determine which servers are warming up.
//
// A Registry records the processes and their estimated starts; its estimator converts between the clocks. Package
// node calls it with each update of the endpoint list, from one goroutine. A process keeps its estimated start
// until it has been removed for longer than the slow start duration. A new process of the same server gets a new
// estimate.
package processstart

import (
	"maps"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

// Moment is a point in time on two or three clocks.
type Moment struct {
	Clock  time.Duration // the node's monotonic clock
	Wall   time.Time     // the wall clock of the node's machine
	SentAt time.Time     // endpoint.List.SentAt of the list that has arrived
}

// Registry holds the estimated start of each process in the endpoint list. It estimates a start only once, when
// the process is first listed, because package policy treats a changed start as a restart. It is not safe for
// concurrent use.
type Registry struct {
	estimator estimator
	retention time.Duration // how long a removed process is kept
	updates   uint32        // number of updates so far
	listed    map[policy.ServerID]process
	removed   map[policy.ServerID]removedProcess
}

// process is a server process, as identified by its server and its start time.
type process struct {
	startedAt      time.Time     // start by the wall clock of the server's machine
	estimatedStart time.Duration // time on the node's clock; 0 means long ago
	lastUpdate     uint32        // number of the last update that contained it
	cached         bool          // estimatedStart is from the cached list; CorrectCached has not checked it
}

// removedProcess is a process that is no longer listed.
type removedProcess struct {
	process
	removedAt time.Duration // time of the removal on the node's clock
}

// NewRegistry returns an empty registry. The origin is the wall time at which the node's clock was 0. Processes
// warm up for slowStartDuration. A process that returns after having been removed for longer warms up again.
func NewRegistry(origin time.Time, slowStartDuration time.Duration) *Registry {
	return &Registry{
		estimator: newEstimator(origin, slowStartDuration),
		retention: slowStartDuration,
		listed:    map[policy.ServerID]process{},
		removed:   map[policy.ServerID]removedProcess{},
	}
}

// RecordResponse records that discovery has just responded, with or without changes. A process that is first listed
// later is assumed to have started since then.
func (r *Registry) RecordResponse(now time.Duration) { r.estimator.recordResponse(now) }

// Update applies an update of the endpoint list. It returns the estimated start of each endpoint's process on the
// node's clock, in the order of the list; 0 means long ago.
func (r *Registry) Update(kind policy.UpdateKind, list []endpoint.Endpoint, now Moment) []time.Duration {
	r.updates++
	r.expireRemoved(now.Clock)
	r.estimator.observe(list, now.Clock)
	starts := make([]time.Duration, len(list))
	for i := range list {
		starts[i] = r.updateProcess(kind, &list[i], now)
	}
	if kind != policy.UpdateDelta {
		r.removeUnlisted(now.Clock)
	}
	return starts
}

// updateProcess records an endpoint's process as listed or removed and returns its estimated start.
func (r *Registry) updateProcess(kind policy.UpdateKind, e *endpoint.Endpoint, now Moment) time.Duration {
	p, found := r.find(e)
	if !found {
		p = process{
			startedAt: e.StartedAt, estimatedStart: r.estimator.estimate(e.StartedAt, now),
			cached: kind == policy.UpdateCached,
		}
	}
	p.lastUpdate = r.updates
	delete(r.removed, e.ID)
	if e.State == policy.EndpointRemoved {
		r.remove(e.ID, p, now.Clock)
	} else {
		r.listed[e.ID] = p
	}
	return p.estimatedStart
}

// CorrectCached checks the estimated starts of the cached list's processes when discovery has first responded. A process
// that is warming up by the service's clock, but was taken for older by the node's, gets a new estimate. CorrectCached
// returns the new estimates. Without a time in the response, there are none.
func (r *Registry) CorrectCached(now Moment) map[policy.ServerID]time.Duration {
	corrected := map[policy.ServerID]time.Duration{}
	for id, p := range r.listed {
		if !p.cached {
			continue
		}
		p.cached = false
		age, known := ageByServiceClock(p.startedAt, now.SentAt)
		start := now.Clock - age
		if known && age < r.estimator.slowStartDuration && start > p.estimatedStart+serviceClockResolution {
			p.estimatedStart = start
			corrected[id] = start
		}
		r.listed[id] = p
	}
	return corrected
}

// find returns the record of an endpoint's process if the process is listed or was removed recently.
func (r *Registry) find(e *endpoint.Endpoint) (process, bool) {
	if p, ok := r.listed[e.ID]; ok && p.startedAt.Equal(e.StartedAt) {
		return p, true
	}
	if p, ok := r.removed[e.ID]; ok && p.startedAt.Equal(e.StartedAt) {
		return p.process, true
	}
	return process{}, false
}

// removeUnlisted removes the processes that the current update does not contain.
func (r *Registry) removeUnlisted(now time.Duration) {
	for id, p := range r.listed {
		if p.lastUpdate != r.updates {
			r.remove(id, p, now)
		}
	}
}

// remove moves a process from listed to removed.
func (r *Registry) remove(id policy.ServerID, p process, now time.Duration) {
	delete(r.listed, id)
	r.removed[id] = removedProcess{p, now}
}

// expireRemoved deletes the processes that were removed longer ago than the retention.
func (r *Registry) expireRemoved(now time.Duration) {
	maps.DeleteFunc(r.removed, func(_ policy.ServerID, p removedProcess) bool {
		return now-p.removedAt > r.retention
	})
}
