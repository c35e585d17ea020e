package history

import (
	"sync"
	"time"

	"calicohinge/internal/testkit"
	"calicohinge/policy"
)

// Discovery records when the discovery service published each generation and when it was unreachable. The zero
// value is ready to use, for nodes that poll the endpoint list.
type Discovery struct {
	Pushes bool // whether the service pushes the endpoint list

	mu        sync.Mutex
	published []time.Time // when each generation was published; index 0 is generation 1
	outages   []outage    // the outages that have ended, in order of time
}

// outage is a period in which the service was unreachable.
type outage struct{ from, to time.Time }

// RecordGeneration records that the next generation is published now.
func (d *Discovery) RecordGeneration() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.published = append(d.published, time.Now())
}

// RecordOutage records an outage from a given time until now.
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

// reachableSince returns the start of the earliest period that has the length span, starts at or after from, and
// contains no outage.
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

// NotifiedAt returns the time from which an incarnation counts as notified of a generation. This is the earliest of:
//   - the delivery of an endpoint list of this or a later generation;
//   - the start of the incarnation, if lists are pushed, the generation was published before, and no outage overlaps the
//     notification deadline from the start;
//   - the end of the notification deadline;
//   - the end of the address change deadline of a reload.
//
// The notification deadline counts from the publication of the generation or from the start of the incarnation,
// whichever is later. If an outage overlaps the time until the deadline, the deadline counts from the end of the
// outage. The address change deadline counts from the reload. It applies only to a reload that comes after both the
// publication and the start, and only if no outage overlaps the time until the deadline.
func (d *Discovery) NotifiedAt(incarnation *Incarnation, generation uint64) time.Time {
	known := d.PublishedAt(generation)
	if known.Before(incarnation.StartedAt) {
		known = incarnation.StartedAt
	}
	reachable := d.reachableSince(known, policy.NotificationDeadline)
	startedLater := known.Equal(incarnation.StartedAt)
	if d.Pushes && startedLater && reachable.Equal(known) {
		return known
	}
	notified := reachable.Add(policy.NotificationDeadline)
	deliveries, reloads := incarnation.notifications()
	for _, delivery := range deliveries {
		if delivery.generation >= generation && delivery.at.Before(notified) {
			notified = delivery.at
		}
	}
	return d.notifiedByReload(reloads, known, notified)
}

// notifiedByReload returns the earlier of notified and the end of the first address change deadline that applies.
func (d *Discovery) notifiedByReload(reloads []time.Time, known, notified time.Time) time.Time {
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
