package simproto

import (
	"fmt"
	"math"

	"calicohinge/policy"
)

// Event decodes record i of the batch into event. An error is a *FormatError.
func (b *Batch) Event(i int, event *Event) error {
	if err := b.decode(record(b.records[i*eventSize:(i+1)*eventSize]), event); err != nil {
		return &FormatError{Batch: b.Number, Record: i, Err: err}
	}
	return nil
}

func (b *Batch) decode(rec record, event *Event) error {
	event.Code = EventCode(rec[0])
	switch event.Code {
	case EventInstance:
		event.Instance = rec.uint16(1)
	case EventOpen:
		return b.decodeOpen(rec, event)
	case EventEndpoints:
		return b.decodeEndpoints(rec, event)
	case EventRequest:
		return decodeRequest(rec, event)
	case EventStreamStarted:
		decodeStreamStarted(rec, event)
	case EventOutcome:
		return decodeOutcome(rec, event)
	case EventClientDisconnected:
		event.Outcome = policy.Outcome{ID: rec.requestID()}
	case EventTimer:
		event.Token = rec.uint64(1)
	case EventPeerMessage:
		return b.checkPeerMessage(rec)
	case EventProbeResult, EventStop: // nothing of them is used
	default:
		return fmt.Errorf("unknown %v", event.Code)
	}
	return nil
}

func (b *Batch) decodeOpen(rec record, event *Event) error {
	const (
		seedAt     = 1
		settingsAt = 9
	)
	settings, ok := b.tailItems(rec, settingsAt, 1)
	if !ok {
		return fmt.Errorf("settings outside the tail: offset %d", rec.uint32(settingsAt))
	}
	event.Seed = rec.uint64(seedAt)
	event.Settings = settings
	return nil
}

// checkPeerMessage checks that the message is in the frame. Instances send none, and those of
// others are ignored.
func (b *Batch) checkPeerMessage(rec record) error {
	const messageAt = 5
	if _, ok := b.tailItems(rec, messageAt, 1); !ok {
		return fmt.Errorf("message outside the tail: offset %d", rec.uint32(messageAt))
	}
	return nil
}

// tailItems returns the items in the tail to which a record refers by their offset, in bytes,
// and their number.
func (b *Batch) tailItems(rec record, referenceAt, itemSize int) ([]byte, bool) {
	offset, count := uint64(rec.uint32(referenceAt)), uint64(rec.uint32(referenceAt+4))
	end := offset + count*uint64(itemSize)
	if end > uint64(len(b.tail)) {
		return nil, false
	}
	return b.tail[offset:end], true
}

func decodeRequest(rec record, event *Event) error {
	const (
		classAt    = 5
		tenantAt   = 6
		timeoutAt  = 16
		costHintAt = 24
		flagsAt    = 32

		flagCostHintValid = 1
	)
	timeout, ok := rec.duration(timeoutAt)
	if !ok {
		return fmt.Errorf("timeout of a request %v", rec.float64(timeoutAt))
	}
	costHint, ok := rec.duration(costHintAt)
	if !ok {
		return fmt.Errorf("cost hint of a request %v", rec.float64(costHintAt))
	}
	if rec[flagsAt]&flagCostHintValid == 0 {
		costHint = 0
	}
	event.Request = policy.Request{
		ID: rec.requestID(), Class: int(rec[classAt]), Tenant: int(rec.uint16(tenantAt)),
		Timeout: timeout, CostHint: costHint,
	}
	return nil
}

func decodeStreamStarted(rec record, event *Event) {
	const (
		attemptAt = 5
		serverAt  = 15
	)
	event.Outcome = policy.Outcome{
		ID: rec.requestID(), Attempt: int(rec.uint16(attemptAt)), Server: rec.serverID(serverAt),
	}
}

func decodeOutcome(rec record, event *Event) error {
	const (
		statusAt       = 5
		requestEndedAt = 7
		serverAt       = 8
		attemptAt      = 14
		latencyAt      = 16
	)
	status, ok := attemptStatus(rec.uint16(statusAt))
	if !ok {
		return fmt.Errorf("unknown status %d", rec.uint16(statusAt))
	}
	latency, ok := rec.duration(latencyAt)
	if !ok {
		return fmt.Errorf("latency %v", rec.float64(latencyAt))
	}
	event.Outcome = policy.Outcome{
		ID: rec.requestID(), Attempt: int(rec.uint16(attemptAt)), Server: rec.serverID(serverAt),
		Status: status, RequestCompleted: rec[requestEndedAt] != 0, Latency: latency,
	}
	return nil
}

// attemptStatus translates the protocol's code of how an attempt ended.
func attemptStatus(code uint16) (policy.Status, bool) {
	switch code {
	case 200:
		return policy.OK, true
	case 408:
		return policy.Timeout, true
	case 409:
		return policy.NotSent, true
	case 429:
		return policy.Rejected, true
	case 444:
		return policy.Cancelled, true
	case 502:
		return policy.ServerError, true
	case 520:
		return policy.Reset, true
	case 521:
		return policy.ConnectFailed, true
	}
	return 0, false
}

// kindWatchFailed takes the place of an update's kind when a watch has failed.
const kindWatchFailed = 3

func (b *Batch) decodeEndpoints(rec record, event *Event) error {
	const (
		kindAt      = 1
		endpointsAt = 10
	)
	kind, ok := updateKind(rec[kindAt])
	event.WatchFailed = rec[kindAt] == kindWatchFailed
	if !ok && !event.WatchFailed {
		return fmt.Errorf("unknown kind of update %d", rec[kindAt])
	}
	items, ok := b.tailItems(rec, endpointsAt, endpointSize)
	if !ok {
		return fmt.Errorf("endpoints outside the tail: offset %d", rec.uint32(endpointsAt))
	}
	event.Kind = kind
	event.Endpoints = event.Endpoints[:0]
	for ; len(items) > 0; items = items[endpointSize:] {
		endpoint, err := decodeEndpoint(record(items[:endpointSize]))
		if err != nil {
			return err
		}
		event.Endpoints = append(event.Endpoints, endpoint)
	}
	return nil
}

func updateKind(code byte) (policy.UpdateKind, bool) {
	switch code {
	case 0:
		return policy.UpdateDelta, true
	case 1:
		return policy.UpdateSnapshot, true
	case 2:
		return policy.UpdateCached, true
	}
	return 0, false
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
	state, ok := endpointState(rec[stateAt])
	if !ok {
		return policy.Endpoint{}, fmt.Errorf("unknown state of a server %d", rec[stateAt])
	}
	weight := rec.float32(weightAt)
	if !(weight >= 0) || math.IsInf(weight, 1) { // also refuses NaN
		return policy.Endpoint{}, fmt.Errorf("weight of a server %v", weight)
	}
	startedAt, ok := rec.duration(startedAtAt)
	if !ok {
		return policy.Endpoint{}, fmt.Errorf("start time of a server %v", rec.float64(startedAtAt))
	}
	return policy.Endpoint{
		Server: rec.serverID(serverAt), Zone: int(rec.uint16(zoneAt)), Cell: int(rec.uint16(cellAt)),
		State: state, Weight: weight, StartedAt: startedAt,
	}, nil
}

func endpointState(code byte) (policy.EndpointState, bool) {
	switch code {
	case 0:
		return policy.Removed, true
	case 1:
		return policy.Ready, true
	case 2:
		return policy.Draining, true
	}
	return 0, false
}
