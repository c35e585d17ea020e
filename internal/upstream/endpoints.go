package upstream

import (
	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

// server is where a server listens, under one start of it.
type server struct {
	addr    string
	started float64 // as discovery tells it
	idle    []*conn // the one used last at the end
	gone    bool    // or restarted, or moved: connections are not kept
}

// RevokedServers is the set of servers whose attempts must not be written any
// more after an update of the endpoint list, as far as they have not begun.
type RevokedServers map[policy.ServerID]struct{}

// Contains reports whether id is in the set.
func (s RevokedServers) Contains(id policy.ServerID) bool {
	_, ok := s[id]
	return ok
}

func (s RevokedServers) add(id policy.ServerID) { s[id] = struct{}{} }

// UpdateEndpoints applies an update of the endpoint list: the complete list, or
// the endpoints that changed. A server with a new address or a new start time is
// another process: connections to the former one are closed. It returns the
// servers that were removed, drain or are another process now.
func (u *Pool) UpdateEndpoints(complete bool, endpoints []endpoint.Endpoint) RevokedServers {
	u.mu.Lock()
	defer u.mu.Unlock()
	listed := make(map[policy.ServerID]struct{}, len(endpoints))
	revoked := RevokedServers{}
	for _, current := range endpoints {
		id := current.ServerID()
		if current.State() == policy.Gone {
			revoked.add(id)
			u.drop(id, u.servers[id])
			continue
		}
		listed[id] = struct{}{}
		if replaced := u.update(id, current); replaced || current.State() != policy.Ready {
			revoked.add(id)
		}
	}
	if !complete {
		return revoked
	}
	for id, s := range u.servers {
		if _, ok := listed[id]; !ok {
			revoked.add(id)
			u.drop(id, s)
		}
	}
	return revoked
}

// update records an endpoint that is not gone. It reports whether the server is
// new or another process than before; u.mu is held.
func (u *Pool) update(id policy.ServerID, current endpoint.Endpoint) (replaced bool) {
	old := u.servers[id]
	if old != nil && old.addr == current.Address && old.started == current.StartedUnixMilli {
		return false
	}
	u.drop(id, old)
	u.servers[id] = &server{addr: current.Address, started: current.StartedUnixMilli}
	return true
}

// drop forgets a server; u.mu is held.
func (u *Pool) drop(id policy.ServerID, s *server) {
	if s == nil {
		return
	}
	s.gone = true
	for _, c := range s.idle {
		u.shut(c)
	}
	s.idle = nil
	delete(u.servers, id)
}
