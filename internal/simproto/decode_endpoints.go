package simproto

import (
	"fmt"
	"math"

	"calicohinge/policy"
)

func (b *Batch) decodeEndpoints(rec record, event *Event) error {
	const (
		kindAt      = 1
		endpointsAt = 10
	)
	code := updateCode(rec[kindAt])
	event.WatchFailed = code == updateWatchFailed
	kind, isUpdate := code.policyKind()
	if !isUpdate && !event.WatchFailed {
		return fmt.Errorf("unknown kind of update %d", code)
	}
	items, ok := b.tailItems(rec, endpointsAt, endpointSize)
	if !ok {
		return fmt.Errorf("endpoints outside the tail: offset %d", rec.uint32(endpointsAt))
	}
	event.Kind = kind
	event.Endpoints = event.Endpoints[:0] // reuses the memory
	for ; len(items) > 0; items = items[endpointSize:] {
		endpoint, err := decodeEndpoint(record(items[:endpointSize]))
		if err != nil {
			return err
		}
		event.Endpoints = append(event.Endpoints, endpoint)
	}
	return nil
}

func decodeEndpoint(rec record) (policy.Endpoint, error) {
	const (
		serverAt    = 0
		zoneAt      = 6
		cellAt      = 10
		stateAt     = 12
		weightAt    = 13
		startedAtAt = 17
	)
	state, ok := stateCode(rec[stateAt]).policyState()
	if !ok {
		return policy.Endpoint{}, fmt.Errorf("unknown state of a server %d", rec[stateAt])
	}
	weight := rec.float32(weightAt)
	if !(weight >= 0) || math.IsInf(weight, 1) { // NaN is not >= 0 either
		return policy.Endpoint{}, fmt.Errorf("weight of a server %v", weight)
	}
	startedAt, err := rec.duration(startedAtAt, "start time of a server")
	if err != nil {
		return policy.Endpoint{}, err
	}
	return policy.Endpoint{
		Server: rec.serverID(serverAt), Zone: int(rec.uint16(zoneAt)), Cell: int(rec.uint16(cellAt)),
		State: state, Weight: weight, StartedAt: startedAt,
	}, nil
}
