package policy

import (
	"slices"
	"time"
)

// simulatedNode is the Host of one Balancer of a simulatedFleet.
type simulatedNode struct {
	fleet    *simulatedFleet
	balancer *Balancer
	requests map[RequestID]*clientRequest
	stopped  bool
}

// simulatedAttempt is an attempt of a request at a server.
type simulatedAttempt struct {
	node    *simulatedNode
	request *clientRequest
	index   int // among the attempts of the request
	server  *simulatedServer
	sentAt  time.Duration
	ended   bool
}

// clientRequest is a request of a client. A client may retry it, as a new request.
type clientRequest struct {
	id             RequestID
	class, retries int     // retries: how often the client has sent it before
	work           float64 // seconds on a server of work rate 1
	attempts       []*simulatedAttempt
	completed      bool
}

// Send starts an attempt at a server. A server that is down takes 150 ms to fail the connection, and one that fails
// responds after 2 ms. All other servers queue the attempt.
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

// Cancel ends an attempt in an event of its own, because a Host must not call back into its Balancer.
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

// completeUnserved completes a request that got no response from a server. With a probability of two thirds the client
// retries it after Retry-After and a random delay, twice at most and at any node.
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
