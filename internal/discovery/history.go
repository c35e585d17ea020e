package discovery

import (
	"log/slog"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

// history is what the log tells of a follower's calls.
type history struct {
	startedAt time.Time     // of the present call
	progress  *callProgress // of the present call
	failures  int           // calls that failed since the last list
	failingAt time.Time     // start of the first of them
}

// begin notes the start of a call.
func (h *history) begin(progress *callProgress) { h.startedAt, h.progress = time.Now(), progress }

// logFailure logs a failed call with further attributes as for slog.Warn.
func (f *follower) logFailure(err error, attributes ...any) {
	h := &f.history
	if h.failures++; h.failures == 1 {
		h.failingAt = h.startedAt
	}
	attributes = append([]any{
		"discovery_addr", f.address, // not "addr", by which the node's own address is found in the log
		"kind", kindOf(err).String(),
		"err", err,
		"phase", h.progress.current().String(),
		"took", time.Since(h.startedAt).Round(time.Millisecond),
		"generation", f.generation,
		"failures", h.failures,
	}, attributes...)
	slog.Warn("endpoint watch failed", attributes...)
}

// logList logs a list that brings changes, or that ends a series of failed calls.
func (f *follower) logList(list endpoint.List) {
	h := &f.history
	if h.failures > 0 {
		slog.Info("endpoint watch recovered", "discovery_addr", f.address, "generation", list.Generation,
			"failures", h.failures, "outage", time.Since(h.failingAt).Round(time.Millisecond))
		h.failures = 0
	}
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
