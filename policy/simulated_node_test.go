package policy

import (
	"slices"
	"time"
)

// simulatedNode is the Host of one Balancer.
type simulatedNode struct {
	fleet    *simulatedFleet
	balancer *Balancer
	requests map[RequestID]*clientRequest
	stopped  bool
}

// simulatedAttempt is an attempt at a server.
type simulatedAttempt struct {
	node    *simulatedNode
	request *clientRequest
	index   int
	server  *simulatedServer
	sentAt  time.Duration
	ended   bool
}

// clientRequest is one request of a client, which may retry it.
type clientRequest struct {
	id             RequestID
	class, retries int
	work           float64 // seconds
	attempts       []*simulatedAttempt
	completed      bool
}

func (n *simulatedNode) Send(id RequestID, server ServerID, _ time.Duration) {
	f, request := n.fleet, n.requests[id]
	s := f.servers[slices.IndexFunc(f.servers, func(s *simulatedServer) bool { return s.Server == server })]
	attempt := &simulatedAttempt{node: n, request: request, index: len(request.attempts), server: s, sentAt: f.now}
	request.attempts = append(request.attempts, attempt)
	if s.State == Ready && f.capacityShare(s) < 1 {
		if f.now >= s.StartedAt+notificationDelay {
			f.workSent += request.work
		}
		notified := n.balancer.endpoints.byID[server].StartedAt == s.StartedAt
		f.recordSlowStartSend(s, slowStartSend{
			at: f.now, meanWork: meanClassWork(request.class) / meanWork, actualWork: request.work / meanWork,
			notified: notified,
		})
	}
	switch {
	case s.State != Ready:
		f.schedule(f.now+150*ms, func() { f.endAttempt(attempt, ConnectFailed) })
	case s.fails:
		f.schedule(f.now+2*ms, func() { f.endAttempt(attempt, ServerError) })
	default:
		s.queue = append(s.queue, attempt)
		f.startNextAttempt(s)
	}
}

func (n *simulatedNode) Cancel(id RequestID, index int) {
	attempt := n.requests[id].attempts[index]
	n.fleet.schedule(n.fleet.now, func() { n.fleet.endAttempt(attempt, Cancelled) })
}

func (n *simulatedNode) Reject(id RequestID, after time.Duration) { n.completeUnserved(id, after) }

func (n *simulatedNode) Fail(id RequestID) { n.completeUnserved(id, 0) }

func (n *simulatedNode) WatchEndpoints() {}

func (n *simulatedNode) SetTimer(at time.Duration, token uint64) {
	n.fleet.schedule(max(at, n.fleet.now), func() {
		if !n.stopped {
			n.balancer.Timer(n.fleet.now, token)
		}
	})
}

// completeUnserved ends a request; two in three clients retry it, twice at most, at any node.
func (n *simulatedNode) completeUnserved(id RequestID, wait time.Duration) {
	request := n.requests[id]
	request.completed = true
	if retry := *request; request.retries < 2 && n.fleet.rng.IntN(3) > 0 {
		n.fleet.schedule(n.fleet.now+wait, func() {
			n.fleet.scheduleAfterRandomDelay(50*ms, func() {
				n.fleet.sendRequest(retry.class, retry.retries+1, retry.work)
			})
		})
	}
}
