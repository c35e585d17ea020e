package policy

// The servers known from the endpoint list.

import (
	"cmp"
	"slices"

	"calicohinge/internal/hashring"
)

// endpointSet holds the servers of the endpoint list. A removed server stays while it has attempts in flight.
type endpointSet struct {
	zone  int // zone of this node
	byID  map[ServerID]*server
	ready []*server // servers in state EndpointReady, sorted by ring position
}

func newEndpointSet(zone int) endpointSet {
	return endpointSet{zone: zone, byID: map[ServerID]*server{}}
}

// update applies an update of the endpoint list. It returns the attempts that were in flight at servers
// that have restarted. These attempts no longer get a response.
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

// updateEndpoint applies one entry of the list. If the server has restarted, it discards the measurements
// of the previous process and returns its attempts in flight.
func (e *endpointSet) updateEndpoint(endpoint Endpoint) []*attempt {
	var lost []*attempt
	server := e.byID[endpoint.Server]
	if server == nil {
		server = newServer(hashring.Position(uint64(endpoint.Cell), uint64(endpoint.Server)))
		e.byID[endpoint.Server] = server
	} else if endpoint.StartedAt != server.StartedAt {
		lost = server.restart()
	}
	if endpoint.State == EndpointReady && server.State != EndpointReady {
		e.ready = append(e.ready, server)
	}
	server.update(endpoint, e.zone)
	return lost
}

// markAllRemoved marks every server as removed before a list of all endpoints is applied. This includes
// draining servers, because neither this list nor a later list has to contain them.
func (e *endpointSet) markAllRemoved() {
	for _, s := range e.byID {
		s.State = EndpointRemoved
	}
	e.ready = e.ready[:0]
}

// dropRemoved removes the servers that are no longer ready from the ready list and sorts the list. It
// deletes removed servers without attempts in flight.
func (e *endpointSet) dropRemoved() {
	e.ready = slices.DeleteFunc(e.ready, func(s *server) bool { return s.State != EndpointReady })
	slices.SortFunc(e.ready, func(x, y *server) int { return cmp.Compare(x.ringPosition, y.ringPosition) })
	for id, s := range e.byID {
		if s.State == EndpointRemoved && len(s.inFlight) == 0 {
			delete(e.byID, id)
		}
	}
}
