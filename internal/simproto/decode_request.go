package simproto

import (
	"fmt"

	"calicohinge/policy"
)

// decodeRequestEvent decodes the events that concern a single request.
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
		classAt    = 5
		tenantAt   = 6
		timeoutAt  = 16
		costHintAt = 24
		flagsAt    = 32

		flagCostHintValid = 1
	)
	timeout, err := rec.duration(timeoutAt, "timeout of a request")
	if err != nil {
		return err
	}
	costHint, err := rec.duration(costHintAt, "cost hint of a request")
	if err != nil {
		return err
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
	code := statusCode(rec.uint16(statusAt))
	status, ok := code.policyStatus()
	if !ok {
		return fmt.Errorf("unknown status %d", code)
	}
	latency, err := rec.duration(latencyAt, "latency")
	if err != nil {
		return err
	}
	event.Outcome = policy.Outcome{
		ID: rec.requestID(), Attempt: int(rec.uint16(attemptAt)), Server: rec.serverID(serverAt),
		Status: status, RequestCompleted: rec[requestEndedAt] != 0, Latency: latency,
	}
	return nil
}
