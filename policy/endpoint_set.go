package policy

// The known servers by the endpoint list.

import (
	"cmp"
	"slices"

	"calicohinge/internal/hashring"
)

// endpointSet holds the servers of the endpoint list. It keeps removed ones while they have attempts in
// flight.
type endpointSet struct {
	zone  int // of this node
	byID  map[ServerID]*server
	ready []*server // sorted by ring position
}

func newEndpointSet(zone int) endpointSet {
	return endpointSet{zone: zone, byID: map[ServerID]*server{}}
}

// update applies an update of the endpoint list. It returns the attempts in flight at previous processes of
// servers, which get no response any more.
func (e *endpointSet) update(kind UpdateKind, endpoints []Endpoint) []*attempt {
	if kind != UpdateDelta {
		e.markAllRemoved()
	}
	var lost []*attempt
	for i := range endpoints {
		lost = append(lost, e.updateEndpoint(endpoints[i])...)
	}
	e.dropRemoved()
	return lost
}

// updateEndpoint applies one entry of the list. A server keeps its measurements until its process restarts.
// In that case the attempts in flight at the previous process are returned.
func (e *endpointSet) updateEndpoint(endpoint Endpoint) []*attempt {
	var lost []*attempt
	server := e.byID[endpoint.Server]
	if server == nil {
		server = newServer(hashring.Position(uint64(endpoint.Cell), uint64(endpoint.Server)))
		e.byID[endpoint.Server] = server
	} else if endpoint.StartedAt != server.StartedAt {
		lost = server.restart()
	}
	if endpoint.State == Ready && server.State != Ready {
		e.ready = append(e.ready, server)
	}
	server.update(endpoint, e.zone)
	return lost
}

// markAllRemoved marks every server as removed, before a complete list is applied. That includes draining
// servers, since the list and all later ones may leave them out.
func (e *endpointSet) markAllRemoved() {
	for _, s := range e.byID {
		s.State = Removed
	}
	e.ready = e.ready[:0]
}

// dropRemoved sorts the ready servers and drops the removed ones without attempts in flight.
func (e *endpointSet) dropRemoved() {
	e.ready = slices.DeleteFunc(e.ready, func(s *server) bool { return s.State != Ready })
	slices.SortFunc(e.ready, func(x, y *server) int { return cmp.Compare(x.ringPosition, y.ringPosition) })
	for id, s := range e.byID {
		if s.State == Removed && len(s.inFlight) == 0 {
			delete(e.byID, id)
		}
	}
}
