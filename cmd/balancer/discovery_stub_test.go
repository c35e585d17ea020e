package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
)

// queueLength is how many calls may wait at an overbooked discovery.
const queueLength = 1 << 16

// outage says how a discovery service is away until back is closed: its address refuses
// connections, or it answers calls with status 503.
type outage struct {
	back    <-chan struct{}
	refuses bool
}

// overbookedDiscovery serves a list once it is back. It takes calls for the complete list
// one after the other, each for timePerCall, those that were given up included.
type overbookedDiscovery struct {
	t           *testing.T
	list        endpointjson.List
	outage      outage
	timePerCall time.Duration
	queue       chan chan struct{} // one for each call, closed when it has had its time
	watches     chan string        // the addresses at which a node with the list watches on
}

// newDiscovery makes one that serves at no address yet.
func newDiscovery(t *testing.T, list endpointjson.List, outage outage, timePerCall time.Duration) *overbookedDiscovery {
	t.Helper()
	stub := &overbookedDiscovery{
		t: t, list: list, outage: outage, timePerCall: timePerCall,
		queue: make(chan chan struct{}, queueLength), watches: make(chan string, queueLength),
	}
	go stub.work()
	return stub
}

// startDiscovery starts one and returns its address.
func startDiscovery(t *testing.T, list endpointjson.List, outage outage, timePerCall time.Duration) (addr string) {
	t.Helper()
	stub := newDiscovery(t, list, outage, timePerCall)
	reserved := testkit.ReserveAddr(t)
	if outage.refuses {
		go stub.serveAfterOutage(reserved)
	} else {
		stub.serve(reserved)
	}
	return reserved.Address
}

// address has it serve at a further address.
func (d *overbookedDiscovery) address() string {
	d.t.Helper()
	reserved := testkit.ReserveAddr(d.t)
	d.serve(reserved)
	return reserved.Address
}

// serve begins to accept calls, to the end of the test.
func (d *overbookedDiscovery) serve(reserved *testkit.ReservedAddr) {
	listener, err := reserved.Listen()
	if err != nil {
		d.t.Error(err)
		return
	}
	server := &http.Server{Handler: d}
	context.AfterFunc(d.t.Context(), func() { _ = server.Close() }) // the test is over
	go func() { _ = server.Serve(listener) }()                      // ends with the server's Close
}

// serveAfterOutage serves once the outage is over.
func (d *overbookedDiscovery) serveAfterOutage(reserved *testkit.ReservedAddr) {
	select {
	case <-d.outage.back:
		d.serve(reserved)
	case <-d.t.Context().Done():
	}
}

// work takes the calls for the complete list in turn.
func (d *overbookedDiscovery) work() {
	for {
		select {
		case finished := <-d.queue:
			time.Sleep(d.timePerCall) // what is under test
			close(finished)
		case <-d.t.Context().Done():
			return
		}
	}
}

// ServeHTTP implements http.Handler.
func (d *overbookedDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-d.outage.back:
	default:
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if r.URL.Query().Get("after") == fmt.Sprint(d.list.Generation) {
		d.watches <- r.Host
		d.serveNoChange(w, r)
		return
	}
	finished := make(chan struct{})
	d.queue <- finished
	select {
	case <-finished:
		_ = json.NewEncoder(w).Encode(d.list) // the call may have been given up
	case <-d.t.Context().Done():
	}
}

// serveNoChange holds a watch for as long as it asks and tells of no change.
func (d *overbookedDiscovery) serveNoChange(w http.ResponseWriter, r *http.Request) {
	wait, err := time.ParseDuration(r.URL.Query().Get("wait_ms") + "ms")
	if err != nil {
		d.t.Error(err)
	}
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
	}
	_, _ = fmt.Fprintf(w, `{"generation": %d, "instances": []}`, d.list.Generation) // the node may have ended
}

// closeAtEnd closes something at the end of the test, by when nobody uses it.
func closeAtEnd(tb testing.TB, closer io.Closer) {
	tb.Helper()
	tb.Cleanup(func() { _ = closer.Close() })
}
