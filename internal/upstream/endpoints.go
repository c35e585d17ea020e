package upstream

import (
	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

// RevokedServers is the set of servers for which an update of the endpoint list revokes
// attempts: one that was decided before the update may not be written any more.
type RevokedServers map[policy.ServerID]struct{}

// Contains reports whether id is in the set.
func (s RevokedServers) Contains(id policy.ServerID) bool {
	_, ok := s[id]
	return ok
}

func (s RevokedServers) add(id policy.ServerID) { s[id] = struct{}{} }

// UpdateEndpoints applies an update of the endpoint list: a delta holds the endpoints that
// changed, any other update the complete list. A server with a new address or a new start time
// is another incarnation. UpdateEndpoints closes the idle connections to the previous one;
// those in use are closed when they are released. It returns the servers that were added or
// removed, that are not ready, or that are another incarnation now.
func (p *Pool) UpdateEndpoints(kind policy.UpdateKind, endpoints []endpoint.Endpoint) RevokedServers {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[policy.ServerID]struct{}, len(endpoints))
	revoked := RevokedServers{}
	for _, current := range endpoints {
		id := current.ID
		if current.State == policy.Removed {
			revoked.add(id)
			p.removeLocked(id, p.servers[id])
			continue
		}
		listed[id] = struct{}{}
		if replaced := p.updateLocked(id, current); replaced || current.State != policy.Ready {
			revoked.add(id)
		}
	}
	if kind == policy.UpdateDelta {
		return revoked
	}
	for id, s := range p.servers {
		if _, ok := listed[id]; !ok {
			revoked.add(id)
			p.removeLocked(id, s)
		}
	}
	return revoked
}

// updateLocked records an endpoint that was not removed. It returns true if the server
// is new or another incarnation than before.
func (p *Pool) updateLocked(id policy.ServerID, current endpoint.Endpoint) bool {
	old := p.servers[id]
	if old != nil && old.address == current.Address && old.startedAt.Equal(current.StartedAt) {
		return false
	}
	p.removeLocked(id, old)
	p.servers[id] = &server{address: current.Address, startedAt: current.StartedAt}
	return true
}

// removeLocked closes the idle connections to a server, which may be nil, and
// removes it from the pool.
func (p *Pool) removeLocked(id policy.ServerID, s *server) {
	if s == nil {
		return
	}
	s.removed = true
	for _, c := range s.idle {
		p.closeLocked(c)
	}
	s.idle = nil
	delete(p.servers, id)
}
