package testkit

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"calicohinge/internal/endpointjson"
)

// maxRecordedCalls is the capacity of FakeDiscovery.Queries. Calls beyond it are served but not recorded.
const maxRecordedCalls = 4096

// FakeDiscovery is a discovery service whose endpoint list the test sets.
type FakeDiscovery struct {
	*httptest.Server
	Queries chan string // the raw query of each call, in order of arrival

	mu          sync.Mutex
	endpoints   []endpointjson.Endpoint
	generation  int
	unavailable bool          // whether calls fail with status 503
	changed     chan struct{} // closed and replaced at each change
}

// NewFakeDiscovery starts a discovery service with an endpoint list. It stops at the end of the test.
func NewFakeDiscovery(t *testing.T, endpoints ...endpointjson.Endpoint) *FakeDiscovery {
	t.Helper()
	discovery := &FakeDiscovery{
		endpoints: endpoints, changed: make(chan struct{}), Queries: make(chan string, maxRecordedCalls),
	}
	discovery.Server = NewServer(t, discovery)
	t.Cleanup(func() { discovery.update(func() {}) }) // completes the pending watches, for which Close would wait
	return discovery
}

// Address returns the host and port on which the service listens.
func (d *FakeDiscovery) Address() string { return d.Listener.Addr().String() }

// update calls change with d.mu held, starts a new generation and completes the pending watches.
func (d *FakeDiscovery) update(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
	d.generation++
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetUnavailable sets whether calls fail with status 503.
func (d *FakeDiscovery) SetUnavailable(unavailable bool) {
	d.update(func() { d.unavailable = unavailable })
}

// SetEndpoints replaces the endpoint list.
func (d *FakeDiscovery) SetEndpoints(endpoints ...endpointjson.Endpoint) {
	d.update(func() { d.endpoints = endpoints })
}

// SetEndpointsAndWait replaces the endpoint list and waits until a node has applied it, which the node's next watch
// shows: its query has the new generation.
func (d *FakeDiscovery) SetEndpointsAndWait(t *testing.T, endpoints ...endpointjson.Endpoint) {
	t.Helper()
	d.SetEndpoints(endpoints...)
	d.mu.Lock()
	after := fmt.Sprintf("after=%d&", d.generation)
	d.mu.Unlock()
	WaitUntil(t, "a watch with a query that starts with "+after, func() bool {
		return strings.HasPrefix(Receive(t, d.Queries, "a call with a query that starts with "+after), after)
	})
}

// ServeHTTP implements http.Handler.
func (d *FakeDiscovery) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	select {
	case d.Queries <- request.URL.RawQuery:
	default: // the channel is full
	}
	d.awaitChange(request)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unavailable {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	list := endpointjson.List{Generation: uint64(d.generation), Reset: true, Endpoints: d.endpoints}
	_ = json.NewEncoder(w).Encode(list) // the client may have disconnected
}

// awaitChange blocks a watch until the list has a later generation than the query names, or until the requested
// wait is over. It does not block other calls, nor any call while calls fail.
func (d *FakeDiscovery) awaitChange(request *http.Request) {
	after, err := strconv.Atoi(request.URL.Query().Get("after"))
	isWatch := err == nil
	d.mu.Lock()
	changed, current := d.changed, after >= d.generation && !d.unavailable
	d.mu.Unlock()
	if isWatch && current {
		LongPoll(request, changed)
	}
}
