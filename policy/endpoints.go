package policy

// The endpoint list: its updates, and when it is watched or polled.

import (
	"cmp"
	"slices"
	"time"

	"calicohinge/internal/hashring"
	"calicohinge/internal/jitter"
	"calicohinge/internal/outcomewindow"
	"calicohinge/internal/runningmean"
)

const (
	initialWatchBackoff = 500 * time.Millisecond  // before another call for the endpoint list; doubles
	watchSpreadPerNode  = 60 * time.Millisecond   // each node's part of the time over which calls spread
	watchAnswerTime     = 1500 * time.Millisecond // for a call's answer, before the notification deadline
)

// server is an endpoint with what this node has measured of its current process.
type server struct {
	Endpoint
	sameZone     bool       // as this node
	ringPosition uint64     // the same at every node; adjacent within a cell, which may be a key's scope
	inFlight     []*attempt // of this node, oldest first

	breaker     circuitBreaker
	outcomes    outcomewindow.Window // latencies as multiples of the baseline latency
	respondedAt time.Duration

	score           float64 // of successRate and relativeLatency, as of the last refresh
	successRate     float64
	relativeLatency float64 // multiple of the baseline latency

	baseline runningmean.Mean // logarithm of its unloaded latencies over those of the requests' classes
	budget   slowStartBudget
}

func newServer(ringPosition uint64) *server {
	return &server{
		ringPosition: ringPosition,
		breaker:      newCircuitBreaker(),
		outcomes:     outcomewindow.New(outcomesPerServer),
		baseline:     runningmean.New(maxServerSamples),
	}
}

// endpointSet holds the ready endpoints, sorted by ring position, and others with attempts in flight.
type endpointSet struct {
	byID         map[ServerID]*server
	ready        []*server
	watchBackoff time.Duration // before the next call after a failed one
}

// UpdateEndpoints handles an update of the endpoint list. A cached one starts the watch, if there is one.
func (b *Balancer) UpdateEndpoints(now time.Duration, kind UpdateKind, endpoints []Endpoint) {
	b.endpoints.watchBackoff = initialWatchBackoff
	if kind == UpdateCached && b.settings.PollEndpoints {
		b.startWatch(now, len(endpoints) > 0)
	}
	if kind != UpdateDelta {
		b.endpoints.markAllGone()
	}
	for _, e := range endpoints {
		b.updateEndpoint(e)
	}
	b.endpoints.removeGone()
	b.subset.invalidate()
	b.outdated = true
	b.dispatch(now)
}

// startWatch spreads the calls of nodes that start at the same time, unless no endpoint is known: a discovery
// service that answers in turn, even calls that were given up, times out on 80 calls at once and on repeats.
func (b *Balancer) startWatch(now time.Duration, endpointsKnown bool) {
	span := min(time.Duration(b.settings.Nodes)*watchSpreadPerNode, b.settings.Rules.MaxPollInterval/2,
		NotificationDeadline-watchAnswerTime)
	if span > initialWatchBackoff && endpointsKnown {
		b.host.SetTimer(now+jitter.Full(b.random, span), timerWatch)
	} else {
		b.host.WatchEndpoints()
	}
}

// WatchFailed reports that a call for the endpoint list failed or its watch broke; the known list stays in
// force. Changes missed since count as notified at the deadline, so an answer has to fit before it. Full
// jitter and then equal backoffs spread nodes that lost the discovery service together.
func (b *Balancer) WatchFailed(now, deadline time.Duration) {
	left, maxPoll := deadline-now, b.settings.Rules.MaxPollInterval
	longest := min(max(left-watchAnswerTime, left/2, 0), max(maxPoll, initialWatchBackoff))
	backoff := b.endpoints.watchBackoff
	wait := min(max(backoff, time.Duration(b.settings.Nodes)*watchSpreadPerNode), longest)
	if backoff == initialWatchBackoff {
		wait = jitter.Full(b.random, wait)
	}
	b.host.SetTimer(now+wait, timerWatch)
	b.endpoints.watchBackoff = min(2*backoff, maxPoll/4+initialWatchBackoff)
}

// updateEndpoint applies one entry of the list. A server keeps its measurements while its process lives.
func (b *Balancer) updateEndpoint(endpoint Endpoint) {
	server := b.endpoints.byID[endpoint.Server]
	if server == nil {
		server = newServer(hashring.Position(uint64(endpoint.Cell), uint64(endpoint.Server)))
		b.endpoints.byID[endpoint.Server] = server
	} else if endpoint.StartedAt != server.StartedAt {
		b.limiter.markAllUnresponsive(server.inFlight) // the former process does not respond any more
		former := server.Endpoint
		*server = *newServer(server.ringPosition)
		server.Endpoint = former
	}
	if endpoint.State == Ready && server.State != Ready {
		b.endpoints.ready = append(b.endpoints.ready, server)
	}
	server.Endpoint = endpoint
	server.sameZone = endpoint.Zone == b.settings.Zone
}

// markAllGone covers the draining endpoints too, which may be left out of all later lists.
func (e *endpointSet) markAllGone() {
	for _, s := range e.byID {
		s.State = Removed
	}
	e.ready = e.ready[:0]
}

func (e *endpointSet) removeGone() {
	e.ready = slices.DeleteFunc(e.ready, func(s *server) bool { return s.State != Ready })
	slices.SortFunc(e.ready, func(x, y *server) int { return cmp.Compare(x.ringPosition, y.ringPosition) })
	for id, s := range e.byID {
		if s.State == Removed && len(s.inFlight) == 0 {
			delete(e.byID, id)
		}
	}
}
