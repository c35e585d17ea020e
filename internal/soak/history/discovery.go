package history

import (
	"sync"
	"time"

	"calicohinge/internal/testkit"
	"calicohinge/policy"
)

// Discovery is what the discovery service published, and when it could not be reached. The zero value is
// ready to use.
type Discovery struct {
	mu        sync.Mutex
	published []time.Time // by generation, from 1 on
	outages   []outage    // those that have ended, in order of time
}

// outage is a span of time in which the service could not be reached.
type outage struct{ from, to time.Time }

// RecordGeneration records that the list of the next generation is published now.
func (d *Discovery) RecordGeneration() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.published = append(d.published, time.Now())
}

// RecordOutage records that the service could not be reached from a time until now.
func (d *Discovery) RecordOutage(from time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outages = append(d.outages, outage{from, time.Now()})
}

// PublishedAt returns when a generation was published.
func (d *Discovery) PublishedAt(generation uint64) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.published[generation-1]
}

// reachableSince returns the first time, from the given one on, after which the service could be reached
// without a break for a span.
func (d *Discovery) reachableSince(from time.Time, span time.Duration) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, outage := range d.outages {
		if outage.to.After(from) && outage.from.Before(from.Add(span)) {
			from = outage.to
		}
	}
	return from
}

// NotifiedAt returns when a process counts as notified of a generation: when the list was written to it, but
// at the end of the notification deadline or of the address change deadline at the latest.
func (d *Discovery) NotifiedAt(incarnation *Incarnation, generation uint64) time.Time {
	known := d.PublishedAt(generation)
	if known.Before(incarnation.StartedAt) {
		known = incarnation.StartedAt
	}
	notified := d.reachableSince(known, policy.NotificationDeadline).Add(policy.NotificationDeadline)
	deliveries, reloads := incarnation.notifications()
	for _, delivery := range deliveries {
		if delivery.generation >= generation && delivery.at.Before(notified) {
			notified = delivery.at
		}
	}
	for _, reload := range reloads {
		due := reload.Add(testkit.AddressChangeDeadline)
		reloadFollows := !reload.Before(known)
		reachable := d.reachableSince(reload, testkit.AddressChangeDeadline).Equal(reload)
		if reloadFollows && reachable && due.Before(notified) {
			notified = due
		}
	}
	return notified
}
