package discovery

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

// hollowNode is a node without clients and servers: a follower, and the policy that requests its calls. It runs in a
// bubble of testing/synctest.
type hollowNode struct {
	client    *Client
	startedAt time.Time
	listed    chan time.Time // receives the time of the first list
	mu        sync.Mutex     // guards balancer
	balancer  *policy.Balancer
	discovery *scriptedCalls
}

// newHollowNode returns node number of a fleet in polling or push mode, whose calls end as the script says.
func newHollowNode(t *testing.T, polling bool, number, nodes int, script callScript) *hollowNode {
	t.Helper()
	n := &hollowNode{
		client:    New(Config{Address: "discovery", Polling: polling, DrainGrace: time.Second}),
		startedAt: time.Now(),
		listed:    make(chan time.Time, 1),
		discovery: &scriptedCalls{script: script},
	}
	settings := policy.Defaults()
	settings.Nodes, settings.Node, settings.PollEndpoints = nodes, number, polling
	settings.Classes = []policy.Class{{Deadline: time.Second, Objective: time.Second, PriorityWeight: 1}}
	balancer, err := policy.New(settings, uint64(number), n)
	if err != nil {
		t.Fatalf("policy.New for node %d of %d: %v", number, nodes, err)
	}
	n.balancer = balancer
	return n
}

// run starts a follower of the node, which has a list and makes its first call at once. It stops at the end of the test.
func (n *hollowNode) run(t *testing.T) {
	t.Helper()
	calls := newInFlightCalls(n.discovery.send)
	f := newFollower(n.client, n, calls, "discovery")
	f.state, f.haveList = stateCalling, true
	var running sync.WaitGroup
	running.Go(func() { f.run(t.Context()) })
	t.Cleanup(func() {
		running.Wait() // t.Context is cancelled before cleanups run
		calls.close()
	})
}

func (n *hollowNode) now() time.Duration { return time.Since(n.startedAt) }

// UpdateEndpoints implements Handler.
func (n *hollowNode) UpdateEndpoints(kind policy.UpdateKind, _ endpoint.List) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.balancer.UpdateEndpoints(n.now(), kind, nil)
}

// Synced implements Handler.
func (n *hollowNode) Synced(time.Time) {
	select {
	case n.listed <- time.Now():
	default:
	}
}

// Connected implements Handler.
func (n *hollowNode) Connected() {}

// WatchFailed implements Handler.
func (n *hollowNode) WatchFailed(failure WatchFailure) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.balancer.WatchFailed(n.now(), policy.WatchFailure{
		First:          failure.First,
		NotifiedAt:     failure.NotifiedAt.Sub(n.startedAt),
		CallNotifiedAt: failure.CallNotifiedAt.Sub(n.startedAt),
	})
}

// Send implements policy.Host. There are no requests.
func (n *hollowNode) Send(policy.RequestID, policy.ServerID, time.Duration) {}

// Cancel implements policy.Host.
func (n *hollowNode) Cancel(policy.RequestID, int) {}

// Reject implements policy.Host.
func (n *hollowNode) Reject(policy.RequestID, time.Duration) {}

// Fail implements policy.Host.
func (n *hollowNode) Fail(policy.RequestID) {}

// SetTimer implements policy.Host.
func (n *hollowNode) SetTimer(at time.Duration, token uint64) {
	time.AfterFunc(at-n.now(), func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.balancer.Timer(n.now(), token)
	})
}

// WatchEndpoints implements policy.Host.
func (n *hollowNode) WatchEndpoints() { n.client.RequestWatch() }

// SetSyncState implements policy.Host.
func (n *hollowNode) SetSyncState(policy.SyncState) {}

// callResponse describes how a call to discovery ends: after a delay it returns a list or is refused. An
// unresponsive call does not end.
type callResponse struct {
	after        time.Duration
	refused      bool
	unresponsive bool
}

// callScript returns how a call ends, from its number, which counts from 0, and the time at which it starts.
type callScript func(number int, at time.Time) callResponse

// scriptedCalls has a sendFunc that ends each call as a script says, and records the start of the call.
type scriptedCalls struct {
	script callScript
	mu     sync.Mutex
	starts []time.Time
}

// errRefused is the error of a refused call.
var errRefused = errors.New("refused")

func (s *scriptedCalls) send(ctx context.Context, query query) (endpoint.List, error) {
	response := s.begin()
	ended := make(<-chan time.Time)
	if !response.unresponsive {
		ended = time.After(response.after)
	}
	select {
	case <-ctx.Done():
		return endpoint.List{}, ctx.Err()
	case <-ended:
	}
	if response.refused {
		return endpoint.List{}, &Error{Kind: BadStatus, Status: 503, Err: errRefused}
	}
	// Each list has a change, so that it resets the backoff.
	return endpoint.List{
		Generation: query.after + 1, Snapshot: query.snapshot, Endpoints: make([]endpoint.Endpoint, 1),
	}, nil
}

// begin records a call and returns how it ends.
func (s *scriptedCalls) begin() callResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.starts = append(s.starts, now)
	return s.script(len(s.starts)-1, now)
}
