package simproto

import (
	"fmt"

	"calicohinge/policy"
)

// decodeRequestEvent decodes an event about a request.
func decodeRequestEvent(rec record, event *Event) error {
	switch event.Code {
	case EventRequest:
		return decodeRequest(rec, event)
	case EventOutcome:
		return decodeOutcome(rec, event)
	case EventStreamStarted:
		decodeStreamStarted(rec, event)
	default: // EventClientDisconnected
		event.Outcome = policy.Outcome{ID: rec.requestID()}
	}
	return nil
}

func decodeRequest(rec record, event *Event) error {
	const (
		classOffset    = 5
		tenantOffset   = 6
		timeoutOffset  = 16
		costHintOffset = 24
		flagsOffset    = 32

		flagCostHintValid = 1
	)
	timeout, err := rec.duration(timeoutOffset, "request timeout")
	if err != nil {
		return err
	}
	costHint, err := rec.duration(costHintOffset, "request cost hint")
	if err != nil {
		return err
	}
	if rec[flagsOffset]&flagCostHintValid == 0 {
		costHint = 0
	}
	event.Request = policy.Request{
		ID: rec.requestID(), Class: int(rec[classOffset]), Tenant: int(rec.uint16(tenantOffset)),
		Timeout: timeout, CostHint: costHint,
	}
	return nil
}

func decodeStreamStarted(rec record, event *Event) {
	const (
		attemptOffset = 5
		serverOffset  = 15
	)
	event.Outcome = policy.Outcome{
		ID: rec.requestID(), Attempt: int(rec.uint16(attemptOffset)), Server: rec.serverID(serverOffset),
	}
}

func decodeOutcome(rec record, event *Event) error {
	const (
		statusOffset           = 5
		requestCompletedOffset = 7
		serverOffset           = 8
		attemptOffset          = 14
		latencyOffset          = 16
	)
	code := statusCode(rec.uint16(statusOffset))
	status, ok := code.policyStatus()
	if !ok {
		return fmt.Errorf("unknown status: %d", code)
	}
	latency, err := rec.duration(latencyOffset, "latency")
	if err != nil {
		return err
	}
	event.Outcome = policy.Outcome{
		ID: rec.requestID(), Attempt: int(rec.uint16(attemptOffset)), Server: rec.serverID(serverOffset),
		Status: status, RequestCompleted: rec[requestCompletedOffset] != 0, Latency: latency,
	}
	return nil
}
