package discovery

import (
	"log/slog"

	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

// applyList applies the list that a completed call has returned: it delivers the list to the handler. The next
// call follows the generation of the list if the list is of the present address. No other method applies a
// list.
func (f *follower) applyList(completed *call) {
	if completed.address != f.address {
		f.applyPreviousList(completed)
		return
	}
	f.backoff.reset()
	if f.isStale(completed) {
		return
	}
	f.logList(completed.list)
	f.haveList, f.generation = true, completed.list.Generation
	f.deliver(completed.list)
}

// applyPreviousList applies a list of a previous address, unless the present address has given one. The next
// call still requests the complete list from the present address.
func (f *follower) applyPreviousList(completed *call) {
	if f.haveList {
		return
	}
	slog.Info("endpoint list of previous address",
		"discovery_addr", completed.address, "generation", completed.list.Generation)
	f.deliver(completed.list)
}

// isStale reports whether another call has returned a newer list since the completed call started. A lower
// generation alone does not make a list stale: a service that has restarted counts from the beginning.
func (f *follower) isStale(completed *call) bool {
	appliedMeanwhile := f.haveList && (completed.query.complete || completed.query.after != f.generation)
	return appliedMeanwhile && completed.list.Generation < f.generation
}

// deliver passes a list to the handler. A list without changes only confirms that the node is synced.
func (f *follower) deliver(list endpoint.List) {
	switch {
	case list.Complete:
		f.handler.UpdateEndpoints(policy.UpdateSnapshot, list.Endpoints)
	case len(list.Endpoints) > 0:
		f.handler.UpdateEndpoints(policy.UpdateDelta, list.Endpoints)
	}
	f.handler.Synced()
}

// logList logs a list that brings changes, or that ends an outage.
func (f *follower) logList(list endpoint.List) {
	f.outage.logEnd(f.address, list.Generation)
	if !list.Complete && len(list.Endpoints) == 0 {
		return
	}
	counts := map[policy.EndpointState]int{}
	for i := range list.Endpoints {
		counts[list.Endpoints[i].State]++
	}
	slog.Info("endpoint list updated", "discovery_addr", f.address, "generation", list.Generation,
		"previous_generation", f.generation, "complete", list.Complete,
		"ready", counts[policy.Ready], "draining", counts[policy.Draining], "removed", counts[policy.Removed])
}
