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

// maxRecordedCalls is the capacity of Registry.Queries. Calls beyond it are served but not recorded.
const maxRecordedCalls = 4096

// Registry is a discovery service whose endpoint list the test sets.
type Registry struct {
	*httptest.Server
	Queries chan string // the raw query of each call, in order of arrival

	mu         sync.Mutex
	endpoints  []endpointjson.Endpoint
	generation int
	down       bool          // whether calls fail with status 503
	changed    chan struct{} // closed and replaced at each change
}

// NewRegistry starts a discovery service with an endpoint list. It stops at the end of the test.
func NewRegistry(t *testing.T, endpoints ...endpointjson.Endpoint) *Registry {
	t.Helper()
	registry := &Registry{
		endpoints: endpoints, changed: make(chan struct{}), Queries: make(chan string, maxRecordedCalls),
	}
	registry.Server = NewServer(t, registry)
	t.Cleanup(func() { registry.update(func() {}) }) // completes the pending watches, for which Close would wait
	return registry
}

// Address returns the host and port on which the service listens.
func (r *Registry) Address() string { return r.Listener.Addr().String() }

// update calls change with r.mu held, starts a new generation and completes the pending watches.
func (r *Registry) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	r.generation++
	close(r.changed)
	r.changed = make(chan struct{})
}

// SetDown sets whether calls fail with status 503.
func (r *Registry) SetDown(down bool) { r.update(func() { r.down = down }) }

// SetEndpoints replaces the endpoint list.
func (r *Registry) SetEndpoints(endpoints ...endpointjson.Endpoint) {
	r.update(func() { r.endpoints = endpoints })
}

// SetEndpointsAndWait replaces the endpoint list and waits until a node has applied it, which the node's next watch
// shows: its query has the new generation.
func (r *Registry) SetEndpointsAndWait(t *testing.T, endpoints ...endpointjson.Endpoint) {
	t.Helper()
	r.SetEndpoints(endpoints...)
	r.mu.Lock()
	after := fmt.Sprintf("after=%d&", r.generation)
	r.mu.Unlock()
	Until(t, "a watch with a query that starts with "+after, func() bool {
		return strings.HasPrefix(Wait(t, r.Queries, "a call with a query that starts with "+after), after)
	})
}

// ServeHTTP implements http.Handler.
func (r *Registry) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	select {
	case r.Queries <- request.URL.RawQuery:
	default: // the channel is full
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

// awaitChange blocks a watch until the list has a later generation than the query names, or until the requested
// wait is over. It does not block other calls, nor any call while calls fail.
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
