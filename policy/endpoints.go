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
	watchAgain = 500 * time.Millisecond
	// watchPerNode is each node's part of the span over which all nodes spread their calls: a
	// discovery that answers one call in this time keeps up.
	watchPerNode = 60 * time.Millisecond
	// listAnswer is reserved for the answer to a call, out of the time until the notification deadline.
	listAnswer = 1500 * time.Millisecond
)

type server struct {
	Endpoint
	breaker breaker
	near    bool // in this node's zone
	// place orders the servers alike at every node, those of a cell side by side, so that a subset
	// holds the group that an idempotency key is scoped to.
	place    uint64
	failures []time.Duration // consecutive failures within the window
	openFor  time.Duration
	reopenAt time.Duration // when open: turns half-open
	trial    *attempt      // when half-open: the one trial that is out

	outcomes   outcomewindow.Window // latencies as multiples of the baseline latency
	answeredAt time.Duration
	score      float64 // as of the last refresh
	success    float64
	latency    float64

	out      []*attempt // own attempts in flight, oldest first
	lone     float64    // mean latency, as a logarithm over its class's, of attempts sent alone
	loneSeen float64
	rampLeft float64       // work that it may be sent while it is cold,
	rampAt   time.Duration // as of then
}

// newServer returns a server without measurements.
func newServer(place uint64) *server {
	return &server{place: place, openFor: openFirst, outcomes: outcomewindow.New(outcomesKept)}
}

// UpdateEndpoints follows the list. Where it must be asked for it is watched.
func (b *Balancer) UpdateEndpoints(now time.Duration, kind UpdateKind, entries []Endpoint) {
	b.watchDelay = watchAgain
	if kind == UpdateCached && b.set.PollEndpoints {
		// Nodes of a release start in step. Discovery takes calls in turn, those that were given up
		// included: at once, most of 80 calls time out, and so do those that come again behind them.
		span := min(time.Duration(b.set.Nodes)*watchPerNode, b.set.Rules.MaxPollInterval/2,
			NotificationDeadline-listAnswer)
		if span > watchAgain && len(entries) > 0 {
			b.host.SetTimer(now+b.fullJitter(span), tokenWatch)
		} else {
			b.host.WatchEndpoints()
		}
	}
	b.list(kind, entries)
	b.refreshed = -1
	b.dispatch(now)
}

// WatchFailed is told when a call for the list failed, or the watch broke; the list at hand
// stays in force. What that missed counts as told when due, and an answer has to fit before.
// The nodes that lost discovery together come back apart, each after the same time from then
// on, so that a discovery that carries their watches carries their return as well.
func (b *Balancer) WatchFailed(now, due time.Duration) {
	most := min(max(due-now-listAnswer, (due-now)/2, 0), max(b.set.Rules.MaxPollInterval, watchAgain))
	wait := min(max(b.watchDelay, time.Duration(b.set.Nodes)*watchPerNode), most)
	if b.watchDelay == watchAgain {
		wait = b.fullJitter(wait)
	}
	b.host.SetTimer(now+wait, tokenWatch)
	b.watchDelay = min(2*b.watchDelay, b.set.Rules.MaxPollInterval/4+watchAgain)
}

// list applies a list or changes to one. What a server was found to be is kept
// while it stays the same process; a restart makes it unmeasured again.
func (b *Balancer) list(kind UpdateKind, entries []Endpoint) {
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
			for _, a := range s.out {
				b.silence(a) // sent to the former process, which answers no more
			}
			former := s.Endpoint
			*s = *newServer(s.place)
			s.Endpoint = former
		}
		listed := s.State == Ready
		s.Endpoint = e
		s.near = e.Zone == b.set.Zone
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
	slices.SortFunc(b.ready, func(x, y *server) int { return cmp.Compare(x.place, y.place) })
	for id, s := range b.servers {
		if s.State == Gone && len(s.out) == 0 {
			delete(b.servers, id)
		}
	}
}
