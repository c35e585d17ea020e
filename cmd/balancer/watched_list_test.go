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

// watchedList is an endpoint list that a testkit.PartitionableService serves as a discovery service and that nodes
// watch.
type watchedList struct {
	mu              sync.Mutex
	list            endpointjson.List
	changed         chan struct{} // closed at the next change of the list
	callGenerations chan string   // receives the generation that each call names, or "" if it names none
}

// newWatchedList returns a list that starts as a snapshot with generation 1.
func newWatchedList(endpoints ...endpointjson.Endpoint) *watchedList {
	return &watchedList{
		list:    endpointjson.List{Generation: 1, Reset: true, Endpoints: endpoints},
		changed: make(chan struct{}), callGenerations: make(chan string, 1000),
	}
}

// set replaces the list and completes the pending watches. The list may be a snapshot or a delta.
func (w *watchedList) set(list endpointjson.List) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.list = list
	close(w.changed)
	w.changed = make(chan struct{})
}

// respond responds to a call with the list. A call that names the list's generation is a watch: respond first waits for
// a newer list, for the time that the watch requests at most.
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

// awaitWatch waits for a watch after a generation, which shows that the node has the list of that generation.
func (w *watchedList) awaitWatch(t *testing.T, generation uint64) {
	t.Helper()
	want := strconv.FormatUint(generation, 10)
	testkit.WaitUntil(t, "the watch after generation "+want, func() bool {
		return testkit.Receive(t, w.callGenerations, "a call after generation "+want) == want
	})
}
