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

// maxQueuedCalls is the number of calls that may wait at a discoveryStub, and the capacity of discoveryStub.watches.
const maxQueuedCalls = 1 << 16

// outage is a period during which a discovery service is unavailable.
type outage struct {
	kind  outageKind
	ended <-chan struct{} // closed when the outage ends
}

// outageKind is how a discovery service fails calls during an outage.
type outageKind int

const (
	outageUnavailable outageKind = iota // calls get status 503
	outageRefused                       // connections are refused
)

// newOutage returns an outage and a function that ends it. The function may be called several times.
func newOutage(kind outageKind) (outage, func()) {
	ended := make(chan struct{})
	return outage{kind, ended}, sync.OnceFunc(func() { close(ended) })
}

// noOutage returns an outage that has ended.
func noOutage() outage {
	outage, end := newOutage(outageUnavailable)
	end()
	return outage
}

// discoveryStub is a discovery service whose endpoint list never changes and which may be overloaded. After its outage
// it handles calls for the snapshot one at a time. Each of these calls takes timePerCall, even if the node has
// abandoned the call.
type discoveryStub struct {
	t           *testing.T
	list        endpointjson.List
	outage      outage
	timePerCall time.Duration
	queue       chan chan struct{} // contains a channel per waiting call, which is closed when the call is handled
	watches     chan string        // receives the address of each watch, which shows that the node has the list
}

// newDiscoveryStub returns a discovery service that has no address yet. It handles calls until the end of the test.
func newDiscoveryStub(t *testing.T, list endpointjson.List, outage outage, timePerCall time.Duration) *discoveryStub {
	t.Helper()
	stub := &discoveryStub{
		t: t, list: list, outage: outage, timePerCall: timePerCall,
		queue: make(chan chan struct{}, maxQueuedCalls), watches: make(chan string, maxQueuedCalls),
	}
	go stub.handleQueue()
	return stub
}

// startDiscoveryStub starts a discovery service at one address and returns that address.
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

// addAddress makes the service available at an additional address, which it returns.
func (d *discoveryStub) addAddress() string {
	d.t.Helper()
	reserved := testkit.ReserveAddr(d.t)
	d.serve(reserved)
	return reserved.Address
}

// serve accepts calls at a reserved address until the end of the test.
func (d *discoveryStub) serve(reserved *testkit.ReservedAddr) {
	listener, err := reserved.Listen()
	if err != nil {
		d.t.Error(err)
		return
	}
	server := &http.Server{Handler: d}
	context.AfterFunc(d.t.Context(), func() { _ = server.Close() }) // errors do not matter after the test
	go func() { _ = server.Serve(listener) }()                      // returns when the server is closed
}

// serveAfterOutage accepts calls once the outage has ended. Until then the reserved address refuses connections.
func (d *discoveryStub) serveAfterOutage(reserved *testkit.ReservedAddr) {
	select {
	case <-d.outage.ended:
		d.serve(reserved)
	case <-d.t.Context().Done():
	}
}

// handleQueue handles the calls for the snapshot one at a time.
func (d *discoveryStub) handleQueue() {
	for {
		select {
		case done := <-d.queue:
			time.Sleep(d.timePerCall) // simulates the overload under test
			close(done)
		case <-d.t.Context().Done():
			return
		}
	}
}

// ServeHTTP implements http.Handler. A call that names the list's generation is a watch; any other call gets the
// snapshot once its turn in the queue has come.
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

// holdWatch keeps a watch open for the time that it requests, and then responds that nothing has changed.
func (d *discoveryStub) holdWatch(w http.ResponseWriter, r *http.Request) {
	wait, err := time.ParseDuration(r.URL.Query().Get("wait_ms") + "ms")
	if err != nil {
		d.t.Errorf("wait_ms in the watch query %q: %v", r.URL.RawQuery, err)
	}
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
	}
	_, _ = fmt.Fprintf(w, `{"generation": %d, "instances": []}`, d.list.Generation) // the node may have disconnected
}
