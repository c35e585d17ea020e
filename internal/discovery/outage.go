package discovery

import (
	"log/slog"
	"time"
)

// outage counts the calls that have failed since the last list arrived, for the log.
type outage struct {
	failures  int
	startedAt time.Time // start of the first failed call
}

// add counts a failed call.
func (o *outage) add(failed *call) {
	if o.failures++; o.failures == 1 {
		o.startedAt = failed.startedAt
	}
}

// logEnd logs the end of the outage, if there is one, and starts counting again.
func (o *outage) logEnd(address string, generation uint64) {
	if o.failures == 0 {
		return
	}
	slog.Info("endpoint watch recovered", "discovery_addr", address, "generation", generation,
		"failures", o.failures, "outage", time.Since(o.startedAt).Round(time.Millisecond))
	o.failures = 0
}
