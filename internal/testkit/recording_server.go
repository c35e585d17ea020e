package testkit

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"calicohinge/internal/endpointjson"
)

// maxRecordedRequests is the capacity of RecordingServer.Requests. Requests beyond it are handled but not recorded.
const maxRecordedRequests = 1000

// RecordingServer is an HTTP server that records the requests that it receives.
type RecordingServer struct {
	*httptest.Server
	Requests chan *http.Request // the received requests, with their bodies in memory
}

// NewRecordingServer starts a server that records each request and then calls handle. It stops at the end of the test.
func NewRecordingServer(t *testing.T, handle http.HandlerFunc) *RecordingServer {
	t.Helper()
	server := &RecordingServer{Requests: make(chan *http.Request, maxRecordedRequests)}
	server.Server = NewServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		select {
		case server.Requests <- r:
		default: // the channel is full; some tests do not read it, and the handler must not block
		}
		handle(w, r)
	}))
	return server
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
func (s *RecordingServer) Address() string { return s.Listener.Addr().String() }

// Endpoint returns an entry of an endpoint list that describes the server as ready.
func (s *RecordingServer) Endpoint(id string) endpointjson.Endpoint {
	return readyEndpoint(id, s.Address())
}

// readyEndpoint returns an entry of an endpoint list that describes the server at an address as ready.
func readyEndpoint(id, address string) endpointjson.Endpoint {
	return endpointjson.Endpoint{InstanceID: id, Address: address, Zone: "a", Lifecycle: "Ready", Weight: 1}
}
