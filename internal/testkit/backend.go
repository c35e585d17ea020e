package testkit

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"calicohinge/internal/endpointjson"
)

// maxRecordedRequests is the capacity of Backend.Requests. Requests beyond it are handled but not recorded.
const maxRecordedRequests = 1000

// Backend is an HTTP server that records the requests that it receives.
type Backend struct {
	*httptest.Server
	Requests chan *http.Request // the received requests, with their bodies in memory
}

// NewBackend starts a server that records each request and then calls handle. It stops at the end of the test.
func NewBackend(t *testing.T, handle http.HandlerFunc) *Backend {
	t.Helper()
	backend := &Backend{Requests: make(chan *http.Request, maxRecordedRequests)}
	backend.Server = NewServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		select {
		case backend.Requests <- r:
		default: // the channel is full; some tests do not read it, and the handler must not block
		}
		handle(w, r)
	}))
	return backend
}

// NewServer starts an HTTP server at a new loopback host. It stops at the end of the test.
func NewServer(tb testing.TB, handler http.Handler) *httptest.Server {
	tb.Helper()
	listener, err := ListenOnNewHost()
	if err != nil {
		tb.Fatal(err)
	}
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: handler}}
	server.Start()
	tb.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server
}

// Address returns the host and port on which the server listens.
func (b *Backend) Address() string { return b.Listener.Addr().String() }

// Endpoint returns an entry of an endpoint list that describes the server as ready.
func (b *Backend) Endpoint(id string) endpointjson.Endpoint { return readyEndpoint(id, b.Address()) }

// readyEndpoint returns an entry of an endpoint list that describes the server at an address as ready.
func readyEndpoint(id, address string) endpointjson.Endpoint {
	return endpointjson.Endpoint{InstanceID: id, Address: address, Zone: "a", Lifecycle: "Ready", Weight: 1}
}
