package discovery

import (
	"log/slog"
	"time"
)

// outage counts the failed calls since the last list arrived.
type outage struct {
	failures  int
	startedAt time.Time // when the first failed call started
}

// add counts a failed call.
func (o *outage) add(failed *call) {
	if o.failures++; o.failures == 1 {
		o.startedAt = failed.startedAt
	}
}

// logEnd logs the end of the outage, if there is one, and resets the count.
func (o *outage) logEnd(address string, generation uint64) {
	if o.failures == 0 {
		return
	}
	slog.Info("endpoint watch recovered", "discovery_addr", address, "generation", generation,
		"failures", o.failures, "outage", time.Since(o.startedAt).Round(time.Millisecond))
	o.failures = 0
}
