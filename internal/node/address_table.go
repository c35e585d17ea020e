package node

import (
	"slices"

	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

// addressTable finds endpoints whose process can no longer run, since another process has started later at the same
// address. A list may name both for a while: the removal of the earlier one comes later than the new entry. Requests to
// the earlier one would reach the new process, as if it were the earlier one and warm. Start times are wall times, and a
// clock may be stepped: an endpoint is superseded only as long as the later one is listed. It is not safe for concurrent
// use.
type addressTable struct {
	listed    map[policy.ServerID]endpoint.Endpoint
	byAddress map[string][]policy.ServerID // the listed endpoints at each address
}

func newAddressTable() *addressTable {
	return &addressTable{listed: map[policy.ServerID]endpoint.Endpoint{}, byAddress: map[string][]policy.ServerID{}}
}

// update applies an update of the endpoint list. It returns the list with each superseded endpoint as removed, and behind
// it the other endpoints at the addresses of the list, which the update may have superseded or restored.
func (t *addressTable) update(kind policy.UpdateKind, list []endpoint.Endpoint) []endpoint.Endpoint {
	if kind != policy.UpdateDelta {
		clear(t.listed)
		clear(t.byAddress)
	}
	inList := make(map[policy.ServerID]struct{}, len(list))
	var affected []string
	for _, e := range list {
		inList[e.ID] = struct{}{}
		affected = append(affected, e.Address, t.listed[e.ID].Address)
		t.replace(e)
	}
	resolved := make([]endpoint.Endpoint, 0, len(list))
	for _, e := range list {
		resolved = append(resolved, t.resolve(e))
	}
	for _, address := range affected {
		for _, id := range t.byAddress[address] {
			if _, found := inList[id]; !found {
				inList[id] = struct{}{}
				resolved = append(resolved, t.resolve(t.listed[id]))
			}
		}
	}
	return resolved
}

// replace records an entry of the list in place of the previous one for its endpoint.
func (t *addressTable) replace(e endpoint.Endpoint) {
	if previous, found := t.listed[e.ID]; found {
		t.remove(previous)
	}
	if e.State != policy.EndpointRemoved && e.Address != "" && e.ID != 0 {
		t.add(e)
	}
}

func (t *addressTable) add(e endpoint.Endpoint) {
	t.listed[e.ID] = e
	t.byAddress[e.Address] = append(t.byAddress[e.Address], e.ID)
}

func (t *addressTable) remove(e endpoint.Endpoint) {
	delete(t.listed, e.ID)
	others := slices.DeleteFunc(t.byAddress[e.Address], func(id policy.ServerID) bool { return id == e.ID })
	if len(others) == 0 {
		delete(t.byAddress, e.Address)
		return
	}
	t.byAddress[e.Address] = others
}

// resolve returns an endpoint, as removed if another listed one has started later at its address.
func (t *addressTable) resolve(e endpoint.Endpoint) endpoint.Endpoint {
	for _, id := range t.byAddress[e.Address] {
		if id != e.ID && t.listed[id].StartedAt.After(e.StartedAt) {
			e.State = policy.EndpointRemoved
		}
	}
	return e
}
