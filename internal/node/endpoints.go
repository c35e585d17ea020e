package node

import (
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/internal/processstart"
	"calicohinge/internal/upstream"
	"calicohinge/policy"
)

// The methods of discovery.Handler are called in the discovery client's goroutine.

// UpdateEndpoints implements discovery.Handler. The pool learns the servers' addresses
// before the balancer learns of the servers. Endpoints that have no ID, or need an address
// and have none, are skipped.
func (l *loop) UpdateEndpoints(kind policy.UpdateKind, list []endpoint.Endpoint) {
	update := endpointsUpdated{kind: kind}
	starts := l.starts.Update(kind, list, processstart.Moment{Clock: l.clock(), Wall: time.Now()})
	for i, e := range list {
		if e.ID == 0 || (e.Address == "" && e.State == policy.Ready) {
			continue
		}
		update.usable = append(update.usable, e)
		update.policy = append(update.policy, l.policyEndpoint(e, starts[i]))
	}
	l.post(update)
}

// Synced implements discovery.Handler.
func (l *loop) Synced() {
	l.starts.Synced(l.clock())
	l.ready.Store(true)
}

// WatchFailed implements discovery.Handler.
func (l *loop) WatchFailed(notifiedAt time.Time) { l.post(watchFailed{notifiedAt}) }

// policyEndpoint converts an endpoint of discovery into the balancer's terms.
func (l *loop) policyEndpoint(e endpoint.Endpoint, startedAt time.Duration) policy.Endpoint {
	zone, configured := l.zones[e.Zone]
	if !configured {
		zone = len(l.zones) // the index of no zone
	}
	return policy.Endpoint{
		Server:    e.ID,
		Zone:      zone,
		Cell:      e.Cell,
		State:     e.State,
		Weight:    max(0, e.Weight),
		StartedAt: startedAt,
	}
}

// revokedAttempt identifies an attempt of which nothing was or will be written.
type revokedAttempt struct {
	request *request
	index   int
}

// revokeUnsent revokes the attempts at the given servers of which no byte has been written.
// One that waits for its connection could be sent after the grace that a drain allows, or
// reach another process at the same address.
func (l *loop) revokeUnsent(servers upstream.RevokedServers) []revokedAttempt {
	var revoked []revokedAttempt
	for _, req := range l.requests {
		for index, a := range req.attempts {
			if !a.reported && servers.Contains(a.server) && a.call.Revoke() {
				revoked = append(revoked, revokedAttempt{req, index})
			}
		}
	}
	return revoked
}
