package discovery

import (
	"log/slog"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

// applyList applies the list that a finished call returned: it delivers the list to the handler. If the list is
// from the current address, the next call requests the changes after the generation of the list. No other method
// applies lists.
func (f *follower) applyList(finished *call) {
	if finished.address != f.address {
		f.applyPreviousList(finished)
		return
	}
	f.backoff.reset()
	if f.isStale(finished) {
		return
	}
	if f.startsOver(finished.list) {
		slog.Info("endpoint list starts over", "discovery_addr", f.address, "generation", finished.list.Generation,
			"previous_generation", f.generation)
		f.haveList, f.generation = false, 0 // the next call requests a snapshot, which completes the list
		f.deliver(finished.list)
		return
	}
	f.logList(finished)
	f.haveList, f.generation, f.unconfirmed = true, finished.list.Generation, false
	f.deadlines.listApplied()
	f.deliver(finished.list)
	f.handler.Synced(finished.list.SentAt)
}

// applyPreviousList applies a list from a previous address, unless the current address has returned one. The
// next call still requests a snapshot from the current address.
func (f *follower) applyPreviousList(finished *call) {
	if f.haveList {
		return
	}
	slog.Info("endpoint list of previous address",
		"discovery_addr", finished.address, "generation", finished.list.Generation)
	f.deliver(finished.list)
	f.handler.Synced(finished.list.SentAt)
}

// isStale reports whether another call has returned a newer list since the finished call started. A lower
// generation alone does not make a list stale, because generations start over when the service restarts.
func (f *follower) isStale(finished *call) bool {
	appliedMeanwhile := f.haveList && (finished.query.snapshot || finished.query.after != f.generation)
	return appliedMeanwhile && finished.list.Generation < f.generation
}

// startsOver reports whether a list has changes since a generation that the known list never had: the service has
// restarted, and its generations have started over. The known list with these changes is not the service's list.
func (f *follower) startsOver(list endpoint.List) bool {
	return f.haveList && !list.Snapshot && list.Generation < f.generation
}

// deliver passes a list to the handler, unless it is a delta without changes.
func (f *follower) deliver(list endpoint.List) {
	switch {
	case list.Snapshot:
		f.handler.UpdateEndpoints(policy.UpdateSnapshot, list)
	case len(list.Endpoints) > 0:
		f.handler.UpdateEndpoints(policy.UpdateDelta, list)
	}
}

// logList logs the end of an outage, the first response that confirms the cached list or changes it, and the list unless
// it is a delta without changes.
func (f *follower) logList(finished *call) {
	list := finished.list
	f.outage.logEnd(f.address, list.Generation)
	if f.unconfirmed {
		slog.Info("cached endpoint list compared", "discovery_addr", f.address, "generation", list.Generation,
			"cached_generation", f.generation, "changes", len(list.Endpoints),
			"took", time.Since(finished.startedAt).Round(time.Millisecond))
	}
	if !list.Snapshot && len(list.Endpoints) == 0 {
		return
	}
	counts := map[policy.EndpointState]int{}
	for i := range list.Endpoints {
		counts[list.Endpoints[i].State]++
	}
	slog.Info("endpoint list updated", "discovery_addr", f.address, "generation", list.Generation,
		"previous_generation", f.generation, "complete", list.Snapshot,
		"ready", counts[policy.EndpointReady], "draining", counts[policy.EndpointDraining],
		"removed", counts[policy.EndpointRemoved])
}
