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
	index   int // position among the attempts of the request
	server  *simulatedServer
	sentAt  time.Duration
	ended   bool
}

// clientRequest is a request of a client. A client may retry it, as a new request.
type clientRequest struct {
	id             RequestID
	class, retries int     // retries: number of times that the client has sent the request before
	work           float64 // seconds on a server of work rate 1
	attempts       []*simulatedAttempt
	completed      bool
}

// Send starts an attempt at a server. The connection to a server that is down fails after 150 ms, and a server that
// fails responds with an error after 2 ms. All other servers queue the attempt.
func (n *simulatedNode) Send(id RequestID, server ServerID, _ time.Duration) {
	f, request := n.fleet, n.requests[id]
	s := f.servers[slices.IndexFunc(f.servers, func(s *simulatedServer) bool { return s.Server == server })]
	attempt := &simulatedAttempt{node: n, request: request, index: len(request.attempts), server: s, sentAt: f.now}
	request.attempts = append(request.attempts, attempt)
	if s.State == EndpointReady && f.capacityShare(s) < 1 {
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
	case s.State != EndpointReady:
		f.schedule(f.now+150*ms, func() { f.endAttempt(attempt, StatusConnectFailed) })
	case s.fails:
		f.schedule(f.now+2*ms, func() { f.endAttempt(attempt, StatusServerError) })
	default:
		s.queue = append(s.queue, attempt)
		f.startNextAttempt(s)
	}
}

// Cancel ends an attempt in a separate event, because a Host must not call back into its Balancer.
func (n *simulatedNode) Cancel(id RequestID, index int) {
	attempt := n.requests[id].attempts[index]
	n.fleet.schedule(n.fleet.now, func() { n.fleet.endAttempt(attempt, StatusCancelled) })
}

func (n *simulatedNode) Reject(id RequestID, after time.Duration) { n.completeUnserved(id, after) }

func (n *simulatedNode) Fail(id RequestID) { n.completeUnserved(id, 0) }

func (n *simulatedNode) WatchEndpoints() {}

func (n *simulatedNode) SetSyncState(SyncState) {}

func (n *simulatedNode) SetTimer(at time.Duration, token uint64) {
	n.fleet.schedule(max(at, n.fleet.now), func() {
		if !n.stopped {
			n.balancer.Timer(n.fleet.now, token)
		}
	})
}

// completeUnserved completes a request that got no response from a server. With a probability of two thirds, the client
// retries the request at a random node after Retry-After and a random delay. It retries at most twice.
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
