package simproto

import (
	"errors"
	"io"
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
	), unhex(t, "0a124a07 1f93 0001 0000 0002 01 3f800000 0000000000000000"+
		"0a9011f2 1fbc 0000 0000 0000 02 3fc00000 40b7d40000000000"))
	events, err := decodeAll(raw)
	if !errors.Is(err, io.EOF) || errors.Is(err, ErrFormat) {
		t.Fatalf("ends with %v, want a clean end", err)
	}
	if events[0].Instance != 3 || events[2].Token != 0x4d || events[7].Code != EventStop {
		t.Fatalf("instance %d, token %d, last code %v", events[0].Instance, events[2].Token, events[7].Code)
	}
	wantRequest := policy.Request{ID: 0x5d3a91c4, Tenant: 1,
		Timeout: 240 * time.Millisecond, CostHint: 12 * time.Millisecond}
	if events[1].Request != wantRequest {
		t.Errorf("request %+v, want %+v", events[1].Request, wantRequest)
	}
	const server = policy.ServerID(0x0a124a071f93)
	update := events[3]
	want := []policy.Endpoint{
		{Server: server, Zone: 1, Cell: 2, State: policy.Ready, Weight: 1},
		{Server: 0x0a9011f21fbc, State: policy.Draining, Weight: 1.5, StartedAt: 6100 * time.Millisecond},
	}
	if update.Kind != policy.UpdateCached || len(update.Endpoints) != 2 ||
		update.Endpoints[0] != want[0] || update.Endpoints[1] != want[1] {
		t.Errorf("update %v %+v, want %+v", update.Kind, update.Endpoints, want)
	}
	wantOutcome := policy.Outcome{ID: 0x5d3a91c4, Server: server, Status: policy.OK, RequestCompleted: true,
		Latency: 18500 * time.Microsecond}
	if events[4].Outcome != wantOutcome {
		t.Errorf("outcome %+v, want %+v", events[4].Outcome, wantOutcome)
	}
	if events[5].Outcome.ID != 0x0e6f2b19 || events[6].Outcome.Attempt != 2 ||
		events[6].Outcome.Server != server {
		t.Errorf("client disconnected %+v, stream started %+v", events[5].Outcome, events[6].Outcome)
	}
}

func TestEachStatusCodeIsTranslated(t *testing.T) {
	want := map[uint16]policy.Status{
		200: policy.OK, 502: policy.ServerError, 429: policy.Rejected, 408: policy.Timeout,
		521: policy.ConnectFailed, 520: policy.Reset, 444: policy.Cancelled, 409: policy.NotSent,
	}
	for code := range uint16(1000) {
		status, ok := statusCode(code).policyStatus()
		if wanted, known := want[code]; ok != known || status != wanted {
			t.Errorf("code %d: status %v, known %v, want %v, %v", code, status, ok, wanted, known)
		}
	}
}

func TestFailedWatchHasNoUpdate(t *testing.T) {
	events, err := decodeAll(frame(1, eventRecord(t, "02 03"), nil))
	if !errors.Is(err, io.EOF) || len(events) != 1 {
		t.Fatalf("%d events, error %v", len(events), err)
	}
	if !events[0].WatchFailed || len(events[0].Endpoints) != 0 {
		t.Errorf("event %+v, want a failed watch", events[0])
	}
}

func TestCostHintThatIsNotMarkedValidIsIgnored(t *testing.T) {
	events, err := decodeAll(frame(1,
		eventRecord(t, "03 5d3a91c4 00 0001 91f03b7c55d20a64 406e000000000000 4028000000000000 06"), nil))
	if !errors.Is(err, io.EOF) || len(events) != 1 {
		t.Fatalf("%d events, error %v", len(events), err)
	}
	if events[0].Request.CostHint != 0 {
		t.Errorf("cost hint %v, want none", events[0].Request.CostHint)
	}
}

func TestEventCodesHaveNames(t *testing.T) {
	names := map[string]EventCode{}
	for code := EventOpen; code <= EventInstance; code++ {
		if other, taken := names[code.String()]; taken || code.String() == "" {
			t.Errorf("codes %d and %d are both named %q", other, code, code)
		}
		names[code.String()] = code
	}
	if got := EventCode(99).String(); got != "event code 99" {
		t.Errorf("unknown code is named %q", got)
	}
}
