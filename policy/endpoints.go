package policy

import (
	"cmp"
	"slices"
	"time"

	"calicohinge/internal/hashring"
	"calicohinge/internal/outcomewindow"
)

const (
	// watchAgain is the shortest backoff between two calls for the endpoint list.
	initialWatchBackoff = 500 * time.Millisecond
	// watchPerNode is each node's part of the span over which all nodes spread their calls: a
	// discovery that answers one call in this time keeps up.
	watchSpreadPerNode = 60 * time.Millisecond
	// listAnswer is reserved for the answer to a call, out of the time until the notification deadline.
	watchAnswerTime = 1500 * time.Millisecond
)

type server struct {
	Endpoint
	breaker  breakerState
	sameZone bool // in this node's zone
	// place orders the servers alike at every node, those of a cell side by side, so that a subset
	// holds the group that an idempotency key is scoped to.
	ringPosition        uint64
	consecutiveFailures []time.Duration // consecutive failures within the window
	openDuration        time.Duration
	halfOpenAt          time.Duration // when open: turns half-open
	trial               *attempt      // when half-open: the one trial that is out

	outcomes        outcomewindow.Window // latencies as multiples of the baseline latency
	respondedAt     time.Duration
	score           float64 // as of the last refresh
	successRate     float64
	relativeLatency float64

	inFlight        []*attempt // own attempts in flight, oldest first
	baselineOffset  float64    // mean latency, as a logarithm over its class's, of attempts sent alone
	baselineSamples float64
	slowStartBudget float64       // work that it may be sent while it is cold,
	budgetUpdatedAt time.Duration // as of then
}

// newServer returns a server without measurements.
func newServer(ringPosition uint64) *server {
	return &server{
		ringPosition: ringPosition,
		openDuration: initialOpenDuration,
		outcomes:     outcomewindow.New(outcomesPerServer),
	}
}

// UpdateEndpoints follows the list. Where it must be asked for it is watched.
func (b *Balancer) UpdateEndpoints(now time.Duration, kind UpdateKind, entries []Endpoint) {
	b.watchDelay = initialWatchBackoff
	if kind == UpdateCached && b.settings.PollEndpoints {
		// Nodes of a release start in step. Discovery takes calls in turn, those that were given up
		// included: at once, most of 80 calls time out, and so do those that come again behind them.
		span := min(time.Duration(b.settings.Nodes)*watchSpreadPerNode, b.settings.Rules.MaxPollInterval/2,
			NotificationDeadline-watchAnswerTime)
		if span > initialWatchBackoff && len(entries) > 0 {
			b.host.SetTimer(now+b.fullJitter(span), timerWatch)
		} else {
			b.host.WatchEndpoints()
		}
	}
	b.applyUpdate(kind, entries)
	b.refreshed = -1
	b.dispatch(now)
}

// WatchFailed is told when a call for the list failed, or the watch broke; the list at hand
// stays in force. What that missed counts as told when due, and an answer has to fit before.
// The nodes that lost discovery together come back apart, each after the same time from then
// on, so that a discovery that carries their watches carries their return as well.
func (b *Balancer) WatchFailed(now, due time.Duration) {
	most := max(due-now-watchAnswerTime, (due-now)/2, 0)
	most = min(most, max(b.settings.Rules.MaxPollInterval, initialWatchBackoff))
	wait := min(max(b.watchDelay, time.Duration(b.settings.Nodes)*watchSpreadPerNode), most)
	if b.watchDelay == initialWatchBackoff {
		wait = b.fullJitter(wait)
	}
	b.host.SetTimer(now+wait, timerWatch)
	b.watchDelay = min(2*b.watchDelay, b.settings.Rules.MaxPollInterval/4+initialWatchBackoff)
}

// list applies a list or changes to one. What a server was found to be is kept
// while it stays the same process; a restart makes it unmeasured again.
func (b *Balancer) applyUpdate(kind UpdateKind, entries []Endpoint) {
	if kind != UpdateDelta {
		for _, s := range b.servers { // draining ones too: many leave no other trace
			s.State = Gone
		}
		b.ready = b.ready[:0]
	}
	for _, e := range entries {
		s := b.servers[e.Server]
		if s == nil {
			s = newServer(hashring.Position(uint64(e.Cell), uint64(e.Server)))
			b.servers[e.Server] = s
		} else if e.StartedAt != s.StartedAt {
			for _, a := range s.inFlight {
				b.markUnresponsive(a) // sent to the former process, which answers no more
			}
			former := s.Endpoint
			*s = *newServer(s.ringPosition)
			s.Endpoint = former
		}
		listed := s.State == Ready
		s.Endpoint = e
		s.sameZone = e.Zone == b.settings.Zone
		if e.State == Ready && !listed {
			b.ready = append(b.ready, s)
		}
	}
	kept := b.ready[:0]
	for _, s := range b.ready {
		if s.State == Ready {
			kept = append(kept, s)
		}
	}
	b.ready = kept
	b.subsetStale = true
	slices.SortFunc(b.ready, func(x, y *server) int { return cmp.Compare(x.ringPosition, y.ringPosition) })
	for id, s := range b.servers {
		if s.State == Gone && len(s.inFlight) == 0 {
			delete(b.servers, id)
		}
	}
}
