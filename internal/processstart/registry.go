// Package processstart estimates when the server processes of the endpoint list started, on the node's
// monotonic clock. Discovery gives a start in the wall time of the server's machine. Package policy needs
// it on the clock of its events, to know which servers are warming up.
//
// A Registry remembers the processes and keeps the start of each; its estimator compares the clocks. Package
// node calls it with each update of the endpoint list, from one goroutine. A process keeps its start until it
// has been removed for longer than the slow start; another process of the same server gets a start of its own.
package processstart

import (
	"maps"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

// Moment is one moment on two clocks.
type Moment struct {
	Clock time.Duration // the node's monotonic clock
	Wall  time.Time     // the wall clock of the node's machine
}

// Registry holds the start of each process that the endpoint list names. It estimates a start once, when the
// process is first listed: to package policy, a start that changes means a restart. It is not safe for
// concurrent use.
type Registry struct {
	estimator estimator
	retention time.Duration // how long a process that was removed is remembered
	updates   uint32        // the number of updates so far
	listed    map[policy.ServerID]process
	removed   map[policy.ServerID]removedProcess
}

// process is the process that was last listed for a server.
type process struct {
	startedAt  time.Time     // by the wall clock of its machine
	start      time.Duration // the estimate, on the node's clock
	lastUpdate uint32        // the last update that listed it
}

// removedProcess is a process that is not listed any more.
type removedProcess struct {
	process
	removedAt time.Duration // on the node's clock
}

// NewRegistry returns a registry without processes. The node's clock showed 0 at the wall time origin. A server
// warms up for slowStartDuration. A process that was removed for longer warms up again when it returns.
func NewRegistry(origin time.Time, slowStartDuration time.Duration) *Registry {
	return &Registry{
		estimator: newEstimator(origin, slowStartDuration),
		retention: slowStartDuration,
		listed:    map[policy.ServerID]process{},
		removed:   map[policy.ServerID]removedProcess{},
	}
}

// Synced records that discovery has just responded, with or without changes. A process that is first listed
// later counts as started since.
func (r *Registry) Synced(now time.Duration) { r.estimator.recordResponse(now) }

// Update applies an endpoint update at the present moment. It returns the starts of the listed processes on
// the node's clock, in the order of the list; 0 stands for long ago.
func (r *Registry) Update(kind policy.UpdateKind, list []endpoint.Endpoint, now Moment) []time.Duration {
	r.updates++
	r.expireRemoved(now.Clock)
	r.estimator.observe(list, now.Clock)
	starts := make([]time.Duration, len(list))
	for i := range list {
		starts[i] = r.updateProcess(&list[i], now)
	}
	if kind != policy.UpdateDelta {
		r.removeUnlisted(now.Clock)
	}
	return starts
}

// updateProcess records the process of an endpoint as listed or removed, and returns its start.
func (r *Registry) updateProcess(e *endpoint.Endpoint, now Moment) time.Duration {
	p, found := r.find(e)
	if !found {
		p = process{startedAt: e.StartedAt, start: r.estimator.estimate(e.StartedAt, now)}
	}
	p.lastUpdate = r.updates
	delete(r.removed, e.ID)
	if e.State == policy.Removed {
		r.remove(e.ID, p, now.Clock)
	} else {
		r.listed[e.ID] = p
	}
	return p.start
}

// find returns the process of an endpoint if it is listed, or was removed a short time ago.
func (r *Registry) find(e *endpoint.Endpoint) (process, bool) {
	if p, ok := r.listed[e.ID]; ok && p.startedAt.Equal(e.StartedAt) {
		return p, true
	}
	if p, ok := r.removed[e.ID]; ok && p.startedAt.Equal(e.StartedAt) {
		return p.process, true
	}
	return process{}, false
}

// removeUnlisted removes the processes that the present update does not list.
func (r *Registry) removeUnlisted(now time.Duration) {
	for id, p := range r.listed {
		if p.lastUpdate != r.updates {
			r.remove(id, p, now)
		}
	}
}

// remove moves a process from the listed ones to the removed ones.
func (r *Registry) remove(id policy.ServerID, p process, now time.Duration) {
	delete(r.listed, id)
	r.removed[id] = removedProcess{p, now}
}

// expireRemoved forgets the processes that were removed longer ago than the retention.
func (r *Registry) expireRemoved(now time.Duration) {
	maps.DeleteFunc(r.removed, func(_ policy.ServerID, p removedProcess) bool {
		return now-p.removedAt > r.retention
	})
}
