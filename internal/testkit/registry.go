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

// maxRecordedCalls bounds Registry.Queries; further calls are served and not recorded.
const maxRecordedCalls = 4096

// Registry is a discovery service whose list the test sets.
type Registry struct {
	*httptest.Server
	Queries chan string // the query of each call, in order of arrival

	mu         sync.Mutex
	endpoints  []endpointjson.Endpoint
	generation int
	down       bool
	changed    chan struct{} // closed at the next change
}

// NewRegistry starts a discovery service with an endpoint list. It stops at the end of the test.
func NewRegistry(t *testing.T, endpoints ...endpointjson.Endpoint) *Registry {
	t.Helper()
	registry := &Registry{
		endpoints: endpoints, changed: make(chan struct{}), Queries: make(chan string, maxRecordedCalls),
	}
	registry.Server = NewServer(t, registry)
	t.Cleanup(func() { registry.update(func() {}) }) // completes the watches, for which Close would wait
	return registry
}

// Address returns the host and port at which the service listens.
func (r *Registry) Address() string { return r.Listener.Addr().String() }

// update makes a change under the lock and completes the pending watches.
func (r *Registry) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	r.generation++
	close(r.changed)
	r.changed = make(chan struct{})
}

// SetDown makes calls fail with status 503, or ends that.
func (r *Registry) SetDown(down bool) { r.update(func() { r.down = down }) }

// SetEndpoints replaces the list.
func (r *Registry) SetEndpoints(endpoints ...endpointjson.Endpoint) {
	r.update(func() { r.endpoints = endpoints })
}

// SetEndpointsAndWait replaces the list and waits for the next watch of the node: it has applied the
// change before it calls again.
func (r *Registry) SetEndpointsAndWait(t *testing.T, endpoints ...endpointjson.Endpoint) {
	t.Helper()
	r.SetEndpoints(endpoints...)
	r.mu.Lock()
	after := fmt.Sprintf("after=%d&", r.generation)
	r.mu.Unlock()
	Until(t, "the watch after the change", func() bool {
		return strings.HasPrefix(Wait(t, r.Queries, "a call"), after)
	})
}

// ServeHTTP implements http.Handler.
func (r *Registry) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	select {
	case r.Queries <- request.URL.RawQuery:
	default:
	}
	r.awaitChange(request)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	list := endpointjson.List{Generation: uint64(r.generation), Reset: true, Endpoints: r.endpoints}
	_ = json.NewEncoder(w).Encode(list) // the client may have disconnected
}

// awaitChange blocks a watch until the list is newer than the generation that it names, or its wait
// is over.
func (r *Registry) awaitChange(request *http.Request) {
	after, err := strconv.Atoi(request.URL.Query().Get("after"))
	isWatch := err == nil
	r.mu.Lock()
	changed, current := r.changed, after >= r.generation && !r.down
	r.mu.Unlock()
	if isWatch && current {
		LongPoll(request, changed)
	}
}
