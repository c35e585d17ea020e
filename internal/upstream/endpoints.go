package upstream

import (
	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

// RevokedServers is the set of servers for which an update of the endpoint list revokes attempts. An
// attempt on such a server that started before the update must not be sent after the update.
type RevokedServers map[policy.ServerID]struct{}

// Contains reports whether id is in the set.
func (s RevokedServers) Contains(id policy.ServerID) bool {
	_, ok := s[id]
	return ok
}

func (s RevokedServers) add(id policy.ServerID) { s[id] = struct{}{} }

// UpdateEndpoints applies an update of the endpoint list. A delta contains only the endpoints that
// changed; any other update contains all endpoints.
//
// A server with a new address or start time is another incarnation. Idle connections to a server
// that was removed, or to a previous incarnation, are closed at once; connections in use are closed
// when they are released. UpdateEndpoints returns the servers in the update that were added or
// removed, are not ready, or have become another incarnation. From an update with all endpoints it
// also returns the servers that are no longer listed.
func (p *Pool) UpdateEndpoints(kind policy.UpdateKind, endpoints []endpoint.Endpoint) RevokedServers {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[policy.ServerID]struct{}, len(endpoints))
	revoked := RevokedServers{}
	for _, current := range endpoints {
		id := current.ID
		if current.State == policy.EndpointRemoved {
			revoked.add(id)
			p.removeLocked(id, p.servers[id])
			continue
		}
		listed[id] = struct{}{}
		if replaced := p.updateLocked(id, current); replaced || current.State != policy.EndpointReady {
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

// updateLocked records an endpoint that was not removed. It returns true if the server is new or is
// another incarnation.
func (p *Pool) updateLocked(id policy.ServerID, current endpoint.Endpoint) bool {
	old := p.servers[id]
	if old != nil && old.address == current.Address && old.startedAt.Equal(current.StartedAt) {
		return false
	}
	p.removeLocked(id, old)
	p.servers[id] = &server{address: current.Address, startedAt: current.StartedAt}
	return true
}

// removeLocked removes a server from the pool and closes the idle connections to it. It does nothing
// if s is nil.
func (p *Pool) removeLocked(id policy.ServerID, s *server) {
	if s == nil {
		return
	}
	s.removed = true
	p.closeIdleLocked(s)
	delete(p.servers, id)
}
