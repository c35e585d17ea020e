package upstream

import (
	"testing"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/internal/testkit"
	"calicohinge/policy"
)

func TestUpdateEndpointsReturnsServersToRevoke(t *testing.T) {
	known := endpoint.Endpoint{ID: 1, Address: "10.0.0.1:80", State: policy.EndpointReady, StartedAt: time.UnixMilli(1)}
	changed := func(change func(e *endpoint.Endpoint)) []endpoint.Endpoint {
		next := known
		change(&next)
		return []endpoint.Endpoint{next}
	}
	for name, c := range map[string]struct {
		kind      policy.UpdateKind
		endpoints []endpoint.Endpoint
		revoked   bool
		listed    bool // whether the server is still in the pool
	}{
		"unchanged":         {policy.UpdateSnapshot, []endpoint.Endpoint{known}, false, true},
		"not in a delta":    {policy.UpdateDelta, nil, false, true},
		"not in a snapshot": {policy.UpdateSnapshot, nil, true, false},
		"draining": {policy.UpdateDelta, changed(func(e *endpoint.Endpoint) {
			e.State = policy.EndpointDraining
		}), true, true},
		"removed": {policy.UpdateDelta, changed(func(e *endpoint.Endpoint) {
			e.State = policy.EndpointRemoved
		}), true, false},
		"new address": {policy.UpdateDelta, changed(func(e *endpoint.Endpoint) {
			e.Address = "10.0.0.2:80"
		}), true, true},
		"new start time": {policy.UpdateDelta, changed(func(e *endpoint.Endpoint) {
			e.StartedAt = time.UnixMilli(2)
		}), true, true},
		"new weight": {policy.UpdateDelta, changed(func(e *endpoint.Endpoint) {
			e.Weight = 2
		}), false, true},
	} {
		t.Run(name, func(t *testing.T) {
			pool := NewPool(testPoolConfig())
			if revoked := pool.UpdateEndpoints(policy.UpdateSnapshot, []endpoint.Endpoint{known}); !revoked.Contains(known.ID) {
				t.Error("UpdateEndpoints did not return a new server, want it among the servers to revoke")
			}

			revoked := pool.UpdateEndpoints(c.kind, c.endpoints)

			if got := revoked.Contains(known.ID); got != c.revoked {
				t.Errorf("server revoked: got %v, want %v", got, c.revoked)
			}
			if _, listed := pool.Stats().Servers[known.ID]; listed != c.listed {
				t.Errorf("server listed: got %v, want %v", listed, c.listed)
			}
		})
	}
}

// When a server is replaced by another incarnation, its idle connections are closed at once, and connections in use
// when they are released.
func TestReplacedServerKeepsNoConnections(t *testing.T) {
	server := testkit.NewScriptedServer(t, okResponse, testkit.KeepAlive)
	pool, id := newPoolWithServer(testPoolConfig(), server.Address)
	inUse, err := pool.acquire(t.Context(), id)
	if err != nil {
		t.Fatal(err)
	}
	expectAttemptStatus(t, pool, id, policy.StatusOK) // leaves an idle connection

	replaced := endpoint.Endpoint{
		ID: id, Address: server.Address, State: policy.EndpointReady, StartedAt: time.UnixMilli(1),
	}
	pool.UpdateEndpoints(policy.UpdateDelta, []endpoint.Endpoint{replaced})
	expectOpenConnections(t, pool, 1)
	pool.release(inUse)
	expectOpenConnections(t, pool, 0)
}
