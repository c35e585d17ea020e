package testkit

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"calicohinge/internal/endpoint"
)

// callsKept is how many calls a stand-in for discovery keeps for its test.
const callsKept = 4096

// Registry is a discovery service whose list the test sets.
type Registry struct {
	*httptest.Server
	Queries chan string // of the calls as they come, as far as there is room

	mu         sync.Mutex
	endpoints  []endpoint.Endpoint
	generation int
	down       bool
	changed    chan struct{} // closed at the next change
}

// NewRegistry starts a discovery service with a list.
func NewRegistry(t *testing.T, endpoints ...endpoint.Endpoint) *Registry {
	t.Helper()
	registry := &Registry{
		endpoints: endpoints, changed: make(chan struct{}), Queries: make(chan string, callsKept),
	}
	registry.Server = httptest.NewServer(registry)
	t.Cleanup(registry.Close)
	t.Cleanup(func() { registry.update(func() {}) }) // ends the watches
	return registry
}

// Address returns where the service listens.
func (d *Registry) Address() string { return d.Listener.Addr().String() }

// update makes a change and wakes the watches.
func (d *Registry) update(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
	d.generation++
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetDown makes calls fail with status 503, or ends that.
func (d *Registry) SetDown(down bool) { d.update(func() { d.down = down }) }

// SetEndpoints replaces the list.
func (d *Registry) SetEndpoints(endpoints ...endpoint.Endpoint) {
	d.update(func() { d.endpoints = endpoints })
}

// SetEndpointsAndWait replaces the list and waits for the watch that follows its
// notification: the node has taken the change in before it calls again.
func (d *Registry) SetEndpointsAndWait(t *testing.T, endpoints ...endpoint.Endpoint) {
	t.Helper()
	d.SetEndpoints(endpoints...)
	d.mu.Lock()
	after := fmt.Sprintf("after=%d&", d.generation)
	d.mu.Unlock()
	Until(t, "the watch after the change", func() bool {
		return strings.HasPrefix(Wait(t, d.Queries, "a call"), after)
	})
}

// ServeHTTP implements http.Handler.
func (d *Registry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case d.Queries <- r.URL.RawQuery:
	default:
	}
	d.awaitChange(r)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	list := endpoint.List{Generation: uint64(d.generation), Reset: true, Endpoints: d.endpoints}
	_ = json.NewEncoder(w).Encode(list) // the client may have gone
}

// awaitChange holds up a watch until there is something newer than what it names.
func (d *Registry) awaitChange(r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait_ms")) // a call with none does not wait
	d.mu.Lock()
	changed, current := d.changed, err == nil && after >= d.generation && !d.down
	d.mu.Unlock()
	if !current {
		return
	}
	select {
	case <-changed:
	case <-r.Context().Done():
	case <-time.After(time.Duration(waitMs) * time.Millisecond):
	}
}

// The answers of a ScriptedDiscovery that are not a list.
const (
	AnswerReset = "reset" // the connection is reset
	AnswerDown  = "down"  // status 503
)

// ScriptedDiscovery is a discovery service whose calls the test answers itself.
type ScriptedDiscovery struct {
	Address string
	Calls   chan *http.Request // as they come
	Answers chan string        // a list as text, or one of the constants above
}

// NewScriptedDiscovery starts one.
func NewScriptedDiscovery(t *testing.T) *ScriptedDiscovery {
	t.Helper()
	scripted := &ScriptedDiscovery{Calls: make(chan *http.Request, 100), Answers: make(chan string)}
	backend := NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		scripted.Calls <- r
		select {
		case text := <-scripted.Answers:
			answerScripted(w, r, text)
		case <-r.Context().Done():
		}
	})
	scripted.Address = backend.Address()
	return scripted
}

func answerScripted(w http.ResponseWriter, r *http.Request, text string) {
	switch text {
	case AnswerReset:
		Reset(w, r)
	case AnswerDown:
		http.Error(w, "down", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, text) // the client may have gone
	}
}
