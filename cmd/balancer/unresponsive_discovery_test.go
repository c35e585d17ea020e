package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"calicohinge/internal/balancertest"
	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
	"calicohinge/policy"
)

// watchedList is the endpoint list of a discovery service on a Machine.
type watchedList struct {
	mu      sync.Mutex
	list    endpointjson.List
	changed chan struct{} // closed at the next change
	watched chan string   // the generation that each call names: its caller has that list
}

func newWatchedList(list endpointjson.List) *watchedList {
	return &watchedList{list: list, changed: make(chan struct{}), watched: make(chan string, 1000)}
}

// set replaces the list.
func (w *watchedList) set(list endpointjson.List) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.list = list
	close(w.changed)
	w.changed = make(chan struct{})
}

// answer answers a call with the complete list; a watch waits for one that is newer.
func (w *watchedList) answer(r *http.Request) testkit.Response {
	after := r.URL.Query().Get("after")
	w.watched <- after
	w.mu.Lock()
	changed, current := w.changed, after == strconv.FormatUint(w.list.Generation, 10)
	w.mu.Unlock()
	if current {
		testkit.LongPoll(r, changed)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	text, err := json.Marshal(w.list)
	if err != nil {
		return testkit.Response{Status: http.StatusInternalServerError, Body: err.Error()}
	}
	return testkit.Response{Status: http.StatusOK, Body: string(text)}
}

// awaitWatch waits until a node has the list of a generation and watches for a newer one.
func (w *watchedList) awaitWatch(t *testing.T, generation uint64) {
	t.Helper()
	wanted := strconv.FormatUint(generation, 10)
	testkit.Until(t, "the watch after generation "+wanted, func() bool {
		return testkit.Wait(t, w.watched, "a call") == wanted
	})
}

// The machine of the discovery service says nothing for a while, and a server has begun to drain when it
// is back: the node follows within the notification deadline, for whatever time it could reach nobody.
func TestDiscoveryIsFollowedAfterASilentOutage(t *testing.T) {
	program := balancertest.Build(t)
	for _, mode := range []string{"pushed", "on_request"} {
		for _, outage := range []time.Duration{8 * time.Second, 50 * time.Second} {
			t.Run(fmt.Sprintf("%s, away for %v", mode, outage), func(t *testing.T) {
				t.Parallel()
				testSilentOutage(t, program, mode, outage)
			})
		}
	}
}

func testSilentOutage(t *testing.T, program, mode string, outage time.Duration) {
	t.Helper()
	former, other := testkit.NewBackend(t, testkit.OK), testkit.NewBackend(t, testkit.OK)
	list := newWatchedList(endpointjson.List{Generation: 1, Reset: true, Endpoints: []endpointjson.Endpoint{former.Endpoint("s-0")}})
	machine := testkit.NewMachine(t, list.answer)
	started := balancertest.Start(t, map[string]any{
		"discovery": machine.Address,
		"settings":  moreSettings(fmt.Sprintf(`"RegistryMode": %q, "Contract": {"DrainGraceMs": 1000}`, mode)),
	}, program)
	addr := testkit.Wait(t, started.Addr, "the process to serve")
	balancertest.AwaitReady(t, addr)
	if body := post(addr); body != "done" {
		t.Fatalf("answered %q", body)
	}
	machine.Partition(t)
	time.Sleep(outage) // what is under test
	draining := former.Endpoint("s-0")
	draining.Lifecycle = "Terminating"
	list.set(endpointjson.List{Generation: 2, Reset: true, Endpoints: []endpointjson.Endpoint{draining, other.Endpoint("s-1")}})
	machine.Heal(t)
	returned := time.Now()
	list.awaitWatch(t, 2)
	took := time.Since(returned)
	t.Logf("followed %v after the return", took.Round(time.Millisecond))
	if took > policy.NotificationDeadline {
		t.Errorf("followed %v after the return, want %v at most", took, policy.NotificationDeadline)
	}
}
