package endpointjson

import (
	"encoding/json"
	"math"
	"reflect"
	"testing"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

func TestUnknownLifecycleMeansDraining(t *testing.T) {
	for lifecycle, want := range map[string]policy.EndpointState{
		"Ready":       policy.EndpointReady,
		"Gone":        policy.EndpointRemoved,
		"Terminating": policy.EndpointDraining,
		"Novel":       policy.EndpointDraining,
		"ready":       policy.EndpointDraining,
		"":            policy.EndpointDraining,
	} {
		server := Endpoint{Lifecycle: lifecycle}
		if state := server.Translate().State; state != want {
			t.Errorf("state of the lifecycle %q: got %v, want %v", lifecycle, state, want)
		}
	}
}

// The discovery service defines the JSON names. Unknown names must be ignored.
func TestListUsesWireNames(t *testing.T) {
	const text = `{"generation":18446744073709551615,"reset":true,"novel":1,"instances":[{"instanceId":"s-1",` +
		`"hostPort":"127.0.0.1:8080","zone":"a","cell":3,"lifecycle":"Ready","weight":0.5,"startedAtMs":1.5e12,"novel":[]}]}`
	want := List{Generation: 1<<64 - 1, Reset: true, Endpoints: []Endpoint{{
		InstanceID: "s-1", Address: "127.0.0.1:8080", Zone: "a", Cell: 3, Lifecycle: "Ready", Weight: 0.5,
		StartedUnixMilli: 1.5e12,
	}}}
	var list List
	if err := json.Unmarshal([]byte(text), &list); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(list, want) {
		t.Errorf("json.Unmarshal(): got %+v, want %+v", list, want)
	}
	encoded, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var decoded List
	if err := json.Unmarshal(encoded, &decoded); err != nil || !reflect.DeepEqual(decoded, want) {
		t.Errorf("decoding of the encoded list: got %+v, error %v; want %+v, no error",
			decoded, err, want)
	}
}

func TestTranslateConvertsEachField(t *testing.T) {
	started := time.Date(2026, 12, 3, 7, 0, 0, 250_000, time.UTC)
	list := List{Generation: 4, Reset: true, Endpoints: []Endpoint{{
		InstanceID: "s-1", Address: "127.0.0.1:8080", Zone: "a", Cell: 3, Lifecycle: "Ready", Weight: 0.5,
		StartedUnixMilli: float64(started.UnixMilli()) + 0.25,
	}}}
	translated := list.Translate()
	if startedAt := translated.Endpoints[0].StartedAt; !startedAt.Equal(started) {
		t.Errorf("StartedAt = %v, want %v", startedAt, started)
	}
	// StartedAt is checked above. DeepEqual would also compare its location, which depends on the machine.
	translated.Endpoints[0].StartedAt = time.Time{}
	want := endpoint.List{Generation: 4, Snapshot: true, Endpoints: []endpoint.Endpoint{{
		ID: endpoint.ServerID("s-1"), Address: "127.0.0.1:8080", Zone: "a", Cell: 3, State: policy.EndpointReady, Weight: 0.5,
	}}}
	if !reflect.DeepEqual(translated, want) {
		t.Errorf("Translate() = %+v, want %+v", translated, want)
	}
}

func TestStartTimeOutOfRangeIsClamped(t *testing.T) {
	for unixMilli, want := range map[float64]time.Time{
		0:     {},
		-1:    {},
		1e300: time.UnixMilli(math.MaxInt64),
	} {
		e := Endpoint{StartedUnixMilli: unixMilli}
		if startedAt := e.Translate().StartedAt; !startedAt.Equal(want) {
			t.Errorf("StartedAt of %g ms: got %v, want %v", unixMilli, startedAt, want)
		}
	}
}
