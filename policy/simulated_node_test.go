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
	dead     bool
}

// serverJob is an attempt at a server.
type serverJob struct {
	node    *simulatedNode
	request *clientRequest
	index   int
	server  *simulatedServer
	sent    time.Duration
	ended   bool
}

// clientRequest is one request of a client, which may retry it.
type clientRequest struct {
	id             RequestID
	class, attempt int
	work           float64 // seconds
	jobs           []*serverJob
	completed      bool
}

func (n *simulatedNode) Send(id RequestID, server ServerID, _ time.Duration) {
	f, request := n.fleet, n.requests[id]
	s := f.servers[slices.IndexFunc(f.servers, func(s *simulatedServer) bool { return s.Server == server })]
	j := &serverJob{node: n, request: request, index: len(request.jobs), server: s, sent: f.now}
	request.jobs = append(request.jobs, j)
	if s.State == Ready && f.capacityShare(s) < 1 {
		if f.now >= s.StartedAt+notificationDelay {
			f.workSent += request.work
		}
		notified := n.balancer.endpoints.byID[server].StartedAt == s.StartedAt
		f.recordSlowStartSend(s, slowStartSend{
			at: f.now, meanWork: classWork(request.class) / meanWork, drawnWork: request.work / meanWork,
			notified: notified,
		})
	}
	switch {
	case s.State != Ready:
		f.schedule(f.now+150*ms, func() { f.end(j, ConnectFailed) })
	case s.fails:
		f.schedule(f.now+2*ms, func() { f.end(j, ServerError) })
	default:
		s.queue = append(s.queue, j)
		f.serve(s)
	}
}

func (n *simulatedNode) Cancel(id RequestID, attempt int) {
	j := n.requests[id].jobs[attempt]
	n.fleet.schedule(n.fleet.now, func() { n.fleet.end(j, Cancelled) })
}

func (n *simulatedNode) Reject(id RequestID, after time.Duration) { n.endUnserved(id, after) }

func (n *simulatedNode) Fail(id RequestID) { n.endUnserved(id, 0) }

func (n *simulatedNode) WatchEndpoints() {}

func (n *simulatedNode) SetTimer(at time.Duration, token uint64) {
	n.fleet.schedule(max(at, n.fleet.now), func() {
		if !n.dead {
			n.balancer.Timer(n.fleet.now, token)
		}
	})
}

// endUnserved ends a request; two in three clients retry it, twice at most, at any node.
func (n *simulatedNode) endUnserved(id RequestID, wait time.Duration) {
	request := n.requests[id]
	request.completed = true
	if again := *request; request.attempt < 2 && n.fleet.rng.IntN(3) > 0 {
		n.fleet.schedule(n.fleet.now+wait, func() {
			n.fleet.scheduleAbout(50*ms, func() { n.fleet.request(again.class, again.attempt+1, again.work) })
		})
	}
}
