package node

import (
	"context"
	"log/slog"
	"time"

	"calicohinge/internal/downstream"
)

const (
	// delayReportInterval is the time between two looks at the delays, and so between two log lines about them.
	delayReportInterval = time.Second
	// reportedDelay is the delay from which on the node logs a line. It is twice the time for which the Go runtime
	// lets a goroutine keep the processor.
	reportedDelay = 20 * time.Millisecond
)

// delayReporter logs how long requests and goroutines wait within the node while that is long, and which client sends
// the most requests that the node does not forward. No client determines the number of lines.
type delayReporter struct {
	handler  *handler
	conns    *downstream.Conns
	latency  *schedLatency
	previous requestCounts
	evicted  int // connections evicted until the previous report
}

func newDelayReporter(h *handler, conns *downstream.Conns) *delayReporter {
	return &delayReporter{handler: h, conns: conns, latency: newSchedLatency()}
}

// run reports once per delayReportInterval until ctx ends.
func (r *delayReporter) run(ctx context.Context) {
	ticker := time.NewTicker(delayReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.report()
		}
	}
}

// report logs the delays since the previous report if one of them reaches reportedDelay.
func (r *delayReporter) report() {
	delays := &r.handler.loop.delays
	sched, read := r.latency.takeMax(), delays.read.take()
	event, response := delays.event.take(), delays.response.take()
	local := r.conns.TakeLocalResponses()
	counts, stats := r.handler.stats.counts(), r.conns.Stats()
	since, evicted := counts.minus(r.previous), stats.Evicted-r.evicted
	r.previous, r.evicted = counts, stats.Evicted
	if max(sched, read, event, response) < reportedDelay {
		return
	}
	slog.Warn("requests are delayed", "sched_max", sched, "read_max", read.Round(time.Microsecond),
		"event_max", event.Round(time.Microsecond), "response_max", response.Round(time.Microsecond),
		"requests", since, "connections", stats.Open, "active", stats.Active, "evicted", evicted,
		"not_forwarded", local.Total, "top_client", local.TopClient, "top_client_not_forwarded", local.TopClientCount)
}
