package simproto

import (
	"errors"
	"io"
	"reflect"
	"testing"
	"time"

	"calicohinge/policy"
)

func TestReaderDecodesEvents(t *testing.T) {
	raw := frame(8, join(
		eventRecord(t, "0b 0003"),
		eventRecord(t, "03 5d3a91c4 00 0001 91f03b7c55d20a64 406e000000000000 4028000000000000 01"),
		eventRecord(t, "07 000000000000004d"),
		eventRecord(t, "02 02 0000000000000029 00000000 00000002"),
		eventRecord(t, "05 5d3a91c4 00c8 01 0a124a07 1f93 0000 4032800000000000"),
		eventRecord(t, "06 0e6f2b19"),
		eventRecord(t, "04 5d3a91c4 0002 4022800000000000 0a124a07 1f93"),
		eventRecord(t, "0a"),
	), decodeHex(t, "0a124a07 1f93 0001 0000 0002 01 3f800000 0000000000000000"+
		"0a9011f2 1fbc 0000 0000 0000 02 3fc00000 40b7d40000000000"))
	events, err := decodeAll(raw)
	if !errors.Is(err, io.EOF) || errors.Is(err, ErrFormat) {
		t.Fatalf("decoding ended with %v, want io.EOF", err)
	}
	const server = policy.ServerID(0x0a124a071f93)
	want := []Event{
		{Code: EventInstance, Instance: 3},
		{Code: EventRequest, Request: policy.Request{
			ID: 0x5d3a91c4, Tenant: 1, Timeout: 240 * time.Millisecond, CostHint: 12 * time.Millisecond,
		}},
		{Code: EventTimer, Token: 0x4d},
		{Code: EventEndpoints, Kind: policy.UpdateCached, Endpoints: []policy.Endpoint{
			{Server: server, Zone: 1, Cell: 2, State: policy.EndpointReady, Weight: 1},
			{Server: 0x0a9011f21fbc, State: policy.EndpointDraining, Weight: 1.5, StartedAt: 6100 * time.Millisecond},
		}},
		{Code: EventOutcome, Outcome: policy.Outcome{
			ID: 0x5d3a91c4, Server: server, Status: policy.StatusOK, RequestCompleted: true,
			Latency: 18500 * time.Microsecond,
		}},
		{Code: EventClientDisconnected, Outcome: policy.Outcome{ID: 0x0e6f2b19}},
		{Code: EventStreamStarted, Outcome: policy.Outcome{ID: 0x5d3a91c4, Attempt: 2, Server: server}},
		{Code: EventStop},
	}
	if len(events) != len(want) {
		t.Fatalf("decoded %d events, want %d", len(events), len(want))
	}
	for i := range want {
		if !reflect.DeepEqual(events[i], want[i]) {
			t.Errorf("event %d: got %+v, want %+v", i, events[i], want[i])
		}
	}
}

func TestStatusCodesMapToPolicyStatuses(t *testing.T) {
	want := map[uint16]policy.Status{
		200: policy.StatusOK, 502: policy.StatusServerError, 429: policy.StatusRejected, 408: policy.StatusTimeout,
		521: policy.StatusConnectFailed, 520: policy.StatusReset, 444: policy.StatusCancelled, 409: policy.StatusNotSent,
	}
	for code := range uint16(1000) {
		status, ok := statusCode(code).policyStatus()
		if wanted, known := want[code]; ok != known || status != wanted {
			t.Errorf("statusCode(%d).policyStatus() = %v, %v; want %v, %v", code, status, ok, wanted, known)
		}
	}
}

// decodeOne decodes a batch with a single event record. The record starts with the bytes in text, in hexadecimal.
func decodeOne(t *testing.T, text string) Event {
	t.Helper()
	events, err := decodeAll(frame(1, eventRecord(t, text), nil))
	if !errors.Is(err, io.EOF) || len(events) != 1 {
		t.Fatalf("decoded %d events with error %v, want 1 event and io.EOF", len(events), err)
	}
	return events[0]
}

func TestFailedWatchCarriesNoUpdate(t *testing.T) {
	event := decodeOne(t, "02 03")
	if !event.WatchFailed || len(event.Endpoints) != 0 {
		t.Errorf("got %+v, want a failed watch without endpoints", event)
	}
}

func TestCostHintWithoutValidFlagIsIgnored(t *testing.T) {
	event := decodeOne(t, "03 5d3a91c4 00 0001 91f03b7c55d20a64 406e000000000000 4028000000000000 06")
	if event.Request.CostHint != 0 {
		t.Errorf("CostHint = %v, want 0s", event.Request.CostHint)
	}
}

func TestEventCodesHaveDistinctNames(t *testing.T) {
	names := map[string]EventCode{}
	for code := EventOpen; code <= EventInstance; code++ {
		if other, taken := names[code.String()]; taken || code.String() == "" {
			t.Errorf("codes %d and %d are both named %q, want distinct names", other, code, code)
		}
		names[code.String()] = code
	}
	if got := EventCode(99).String(); got != "event code 99" {
		t.Errorf("EventCode(99).String() = %q, want \"event code 99\"", got)
	}
}
