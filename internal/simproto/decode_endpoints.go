package simproto

import (
	"fmt"
	"math"

	"calicohinge/policy"
)

func (b *Batch) decodeEndpoints(rec record, event *Event) error {
	const (
		kindOffset      = 1
		endpointsOffset = 10
	)
	code := updateCode(rec[kindOffset])
	event.WatchFailed = code == updateWatchFailed
	kind, isUpdate := code.policyKind()
	if !isUpdate && !event.WatchFailed {
		return fmt.Errorf("kind of update is %d, must be at most %d", code, updateWatchFailed)
	}
	items, ok := b.tailItems(rec, endpointsOffset, endpointSize)
	if !ok {
		return fmt.Errorf("endpoints at offset %d must lie within the tail of %d bytes",
			rec.uint32(endpointsOffset), len(b.tail))
	}
	event.Kind = kind
	event.Endpoints = event.Endpoints[:0] // keeps the capacity
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
		serverOffset    = 0
		zoneOffset      = 6
		cellOffset      = 10
		stateOffset     = 12
		weightOffset    = 13
		startTimeOffset = 17
	)
	state, ok := stateCode(rec[stateOffset]).policyState()
	if !ok {
		return policy.Endpoint{}, fmt.Errorf("server state is %d, must be at most %d", rec[stateOffset], stateDraining)
	}
	weight := rec.float32(weightOffset)
	if !(weight >= 0) || math.IsInf(weight, 1) { // !(weight >= 0) is true for NaN too
		return policy.Endpoint{}, fmt.Errorf("server weight is %v, must be finite and at least 0", weight)
	}
	startedAt, err := rec.duration(startTimeOffset, "server start time")
	if err != nil {
		return policy.Endpoint{}, err
	}
	return policy.Endpoint{
		Server: rec.serverID(serverOffset), Zone: int(rec.uint16(zoneOffset)), Cell: int(rec.uint16(cellOffset)),
		State: state, Weight: weight, StartedAt: startedAt,
	}, nil
}
