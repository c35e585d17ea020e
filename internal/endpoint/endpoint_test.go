package endpoint

import (
	"encoding/json"
	"reflect"
	"testing"

	"calicohinge/policy"
)

func TestUnknownLifecycleCountsAsDraining(t *testing.T) {
	for lifecycle, want := range map[string]policy.EndpointState{
		"Ready":       policy.Ready,
		"Gone":        policy.Gone,
		"Terminating": policy.Draining,
		"Novel":       policy.Draining,
		"ready":       policy.Draining,
		"":            policy.Draining,
	} {
		server := Endpoint{Lifecycle: lifecycle}
		if state := server.State(); state != want {
			t.Errorf("lifecycle %q is %v, want %v", lifecycle, state, want)
		}
	}
}

// Nodes of different versions have to agree: the values are those of 64-bit FNV-1a.
func TestServerIDIsAStableHashOfTheInstanceID(t *testing.T) {
	for id, want := range map[string]policy.ServerID{
		"":       0xcbf29ce484222325,
		"a":      0xaf63dc4c8601ec8c,
		"foobar": 0x85944171f73967e8,
	} {
		server := Endpoint{InstanceID: id, Address: "127.0.0.1:1", Zone: "a"}
		if got := server.ServerID(); got != want {
			t.Errorf("instance %q has ID %x, want %x", id, got, want)
		}
	}
}

// The names of the JSON form are given by the discovery service; unknown names are ignored.
func TestListHasTheNamesOfTheWire(t *testing.T) {
	const text = `{"generation":18446744073709551615,"reset":true,"novel":1,"instances":[{"instanceId":"s-1",` +
		`"hostPort":"127.0.0.1:8080","zone":"a","cell":3,"lifecycle":"Ready","weight":0.5,"startedAtMs":1.5e12,"novel":[]}]}`
	want := List{Generation: 1<<64 - 1, Reset: true, Endpoints: []Endpoint{{
		InstanceID: "s-1", Address: "127.0.0.1:8080", Zone: "a", Cell: 3, Lifecycle: "Ready", Weight: 0.5, StartedUnixMilli: 1.5e12,
	}}}
	var list List
	if err := json.Unmarshal([]byte(text), &list); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(list, want) {
		t.Errorf("list %+v, want %+v", list, want)
	}
	encoded, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var again List
	if err := json.Unmarshal(encoded, &again); err != nil || !reflect.DeepEqual(again, want) {
		t.Errorf("list %+v after encoding, want %+v: %v", again, want, err)
	}
}
