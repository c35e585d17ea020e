package testkit

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"calicohinge/internal/endpoint"
)

// requestsKept is how many requests a Backend keeps for its test; further ones are
// handled and not kept.
const requestsKept = 1000

// Backend is a server that tells the test what reaches it.
type Backend struct {
	*httptest.Server
	Requests chan *http.Request // each with its body read and restored
}

// NewBackend starts a server that keeps each request before it handles it.
func NewBackend(t *testing.T, handle http.HandlerFunc) *Backend {
	t.Helper()
	backend := &Backend{Requests: make(chan *http.Request, requestsKept)}
	backend.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		select {
		case backend.Requests <- r:
		default: // enough for any test that counts; a handler must not block for good
		}
		handle(w, r)
	}))
	t.Cleanup(func() {
		backend.CloseClientConnections()
		backend.Close()
	})
	return backend
}

// Address returns where the server listens.
func (b *Backend) Address() string { return b.Listener.Addr().String() }

// Endpoint describes the server as discovery would.
func (b *Backend) Endpoint(id string) endpoint.Endpoint { return readyEndpoint(id, b.Address()) }

func readyEndpoint(id, address string) endpoint.Endpoint {
	return endpoint.Endpoint{InstanceID: id, Address: address, Zone: "a", Lifecycle: "Ready", Weight: 1}
}

// OK serves a request.
func OK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") } // the client may have gone

// ServerError answers 500.
func ServerError(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "oops", http.StatusInternalServerError)
}

// NotProcessed rejects a request that it has not run.
func NotProcessed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Processed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Reset closes the connection without an answer.
func Reset(w http.ResponseWriter, _ *http.Request) {
	if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
		_ = conn.Close() // the peer sees it, whatever it returns
	}
}

// Silent answers no request. It tells when a client has given one up.
func Silent(disconnected chan<- struct{}) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		select {
		case disconnected <- struct{}{}:
		default:
		}
	}
}

// StuckServer is an address at which connections come up only once Admit is
// called: its backlog is full.
type StuckServer struct {
	net.Listener
}

// NewStuckServer starts one.
func NewStuckServer(t *testing.T) *StuckServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	shrinkBacklog(t, listener)
	for { // until one hangs
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return &StuckServer{listener}
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}

func shrinkBacklog(t *testing.T, listener net.Listener) {
	t.Helper()
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	controlErr := raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) })
	if controlErr != nil || err != nil {
		t.Fatal(controlErr, err)
	}
}

// Endpoint describes the server as discovery would.
func (s *StuckServer) Endpoint(id string) endpoint.Endpoint {
	return readyEndpoint(id, s.Addr().String())
}

// Admit accepts every connection and returns the first bytes of those that send any.
func (s *StuckServer) Admit() <-chan string {
	received := make(chan string, 100)
	go func() {
		for {
			conn, err := s.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }() // the test has what it wants
				first := make([]byte, 64)
				if n, _ := conn.Read(first); n > 0 { // a client that leaves sends nothing
					received <- string(first[:n])
				}
			}()
		}
	}()
	return received
}
