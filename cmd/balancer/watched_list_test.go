package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"testing"

	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
)

// watchedList is the endpoint list of a discovery service on a testkit.Machine.
type watchedList struct {
	mu              sync.Mutex
	list            endpointjson.List
	changed         chan struct{} // closed at the next change
	callGenerations chan string   // for each call, the generation of the list that its caller has
}

func newWatchedList(endpoints ...endpointjson.Endpoint) *watchedList {
	return &watchedList{
		list:    endpointjson.List{Generation: 1, Reset: true, Endpoints: endpoints},
		changed: make(chan struct{}), callGenerations: make(chan string, 1000),
	}
}

// set replaces the list.
func (w *watchedList) set(list endpointjson.List) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.list = list
	close(w.changed)
	w.changed = make(chan struct{})
}

// respond responds to a call with the list; a watch waits for one that is newer.
func (w *watchedList) respond(r *http.Request) testkit.Response {
	after := r.URL.Query().Get("after")
	w.callGenerations <- after
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
	want := strconv.FormatUint(generation, 10)
	testkit.Until(t, "the watch after generation "+want, func() bool {
		return testkit.Wait(t, w.callGenerations, "a call") == want
	})
}
