package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"calicohinge/internal/endpointjson"
	"calicohinge/internal/testkit"
)

// maxQueuedCalls is how many calls may wait at an overloaded discovery service.
const maxQueuedCalls = 1 << 16

// outage says how a discovery service cannot be used until the outage has ended.
type outage struct {
	kind  outageKind
	ended <-chan struct{} // closed at the end
}

// outageKind is what a client of the service sees of an outage.
type outageKind int

const (
	outageUnavailable outageKind = iota // status 503
	outageRefused                       // refused connections
)

// newOutage begins an outage and returns a function that ends it, which may be called again.
func newOutage(kind outageKind) (outage, func()) {
	ended := make(chan struct{})
	return outage{kind, ended}, sync.OnceFunc(func() { close(ended) })
}

// noOutage is an outage that has ended.
func noOutage() outage {
	outage, end := newOutage(outageUnavailable)
	end()
	return outage
}

// discoveryStub is a discovery service that serves a list after its outage. It handles calls for the
// complete list one after the other. Each takes timePerCall, even if its client has abandoned it.
type discoveryStub struct {
	t           *testing.T
	list        endpointjson.List
	outage      outage
	timePerCall time.Duration
	queue       chan chan struct{} // one channel for each call, closed when its turn is over
	watches     chan string        // the addresses at which a node with the list watches for changes
}

// newDiscoveryStub returns a service that has no address yet.
func newDiscoveryStub(t *testing.T, list endpointjson.List, outage outage, timePerCall time.Duration) *discoveryStub {
	t.Helper()
	stub := &discoveryStub{
		t: t, list: list, outage: outage, timePerCall: timePerCall,
		queue: make(chan chan struct{}, maxQueuedCalls), watches: make(chan string, maxQueuedCalls),
	}
	go stub.handleQueue()
	return stub
}

// startDiscoveryStub starts a service and returns its address.
func startDiscoveryStub(t *testing.T, list endpointjson.List, outage outage, timePerCall time.Duration) string {
	t.Helper()
	stub := newDiscoveryStub(t, list, outage, timePerCall)
	reserved := testkit.ReserveAddr(t)
	if outage.kind == outageRefused {
		go stub.serveAfterOutage(reserved)
	} else {
		stub.serve(reserved)
	}
	return reserved.Address
}

// addAddress makes the service available at a further address and returns that.
func (d *discoveryStub) addAddress() string {
	d.t.Helper()
	reserved := testkit.ReserveAddr(d.t)
	d.serve(reserved)
	return reserved.Address
}

// serve accepts calls at an address until the end of the test.
func (d *discoveryStub) serve(reserved *testkit.ReservedAddr) {
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
func (d *discoveryStub) serveAfterOutage(reserved *testkit.ReservedAddr) {
	select {
	case <-d.outage.ended:
		d.serve(reserved)
	case <-d.t.Context().Done():
	}
}

// handleQueue handles the calls for the complete list in turn.
func (d *discoveryStub) handleQueue() {
	for {
		select {
		case done := <-d.queue:
			time.Sleep(d.timePerCall) // what is under test
			close(done)
		case <-d.t.Context().Done():
			return
		}
	}
}

// ServeHTTP implements http.Handler.
func (d *discoveryStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-d.outage.ended:
	default:
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if r.URL.Query().Get("after") == fmt.Sprint(d.list.Generation) {
		d.watches <- r.Host
		d.holdWatch(w, r)
		return
	}
	done := make(chan struct{})
	d.queue <- done
	select {
	case <-done:
		_ = json.NewEncoder(w).Encode(d.list) // the client may have abandoned the call
	case <-d.t.Context().Done():
	}
}

// holdWatch holds a watch for as long as it requests and reports no change.
func (d *discoveryStub) holdWatch(w http.ResponseWriter, r *http.Request) {
	wait, err := time.ParseDuration(r.URL.Query().Get("wait_ms") + "ms")
	if err != nil {
		d.t.Error(err)
	}
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
	}
	_, _ = fmt.Fprintf(w, `{"generation": %d, "instances": []}`, d.list.Generation) // the node may have exited
}
