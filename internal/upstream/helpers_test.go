package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

const (
	// responseReadTimeout is as long as a node gives a response.
	responseReadTimeout = 150 * time.Millisecond
	// clientTimeout is far longer than an attempt of these tests may take.
	clientTimeout = time.Minute
	// connectionsKept is how many connections a scriptedServer keeps for its test.
	connectionsKept = 100
)

// scriptedServer answers each request with fixed bytes; then it closes the
// connection, or keeps it for another request.
type scriptedServer struct {
	listener    net.Listener
	response    string
	closeAfter  bool
	connections chan net.Conn // those that were accepted
}

func newScriptedServer(t *testing.T, response string, closeAfter bool) *scriptedServer {
	t.Helper()
	server := &scriptedServer{
		listener:    listen(t),
		response:    response,
		closeAfter:  closeAfter,
		connections: make(chan net.Conn, connectionsKept),
	}
	go server.accept()
	return server
}

func (s *scriptedServer) address() string { return s.listener.Addr().String() }

func (s *scriptedServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.connections <- conn
		go s.serve(conn)
	}
}

func (s *scriptedServer) serve(conn net.Conn) {
	defer closeQuietly(conn)
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if _, err := io.WriteString(conn, s.response); err != nil || s.closeAfter {
			return
		}
	}
}

// listen opens a loopback listener that is closed at the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(listener) })
	return listener
}

// closeQuietly closes what the other side or the test may have closed already.
func closeQuietly(closer io.Closer) { _ = closer.Close() }

// writeQuietly writes to a client that may have closed the connection.
func writeQuietly(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// hijacking returns a handler that serves the raw connection of each request and
// closes it afterwards.
func hijacking(serve func(conn net.Conn)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer closeQuietly(conn)
		serve(conn)
	}
}

// poolConfig permits a connection to be reused at once.
func poolConfig() Config {
	return Config{MaxOpen: 10, IdleTimeout: 15 * time.Second, ConnectTimeout: 5 * time.Second}
}

// poolTo returns a pool that knows one server.
func poolTo(config Config, address string) (*Pool, policy.ServerID) {
	pool := NewPool(config)
	server := endpoint.Endpoint{InstanceID: "s", Address: address, Lifecycle: "Ready"}
	pool.UpdateEndpoints(true, []endpoint.Endpoint{server})
	return pool, server.ServerID()
}

// connected is a client that does not disconnect.
func connected() bool { return false }

// send makes one attempt for a connected client.
func send(ctx context.Context, pool *Pool, id policy.ServerID, request *Request) Result {
	return pool.Send(NewCall(ctx, connected), id, request, clientTimeout)
}

// expectStatus makes one attempt and checks its status.
func expectStatus(t *testing.T, pool *Pool, id policy.ServerID, want policy.Status) {
	t.Helper()
	if result := send(t.Context(), pool, id, anyRequest()); result.Status != want {
		t.Errorf("status %v, want %v", result.Status, want)
	}
}

// expectOpen checks the number of connections that the pool counts.
func expectOpen(t *testing.T, pool *Pool, want int) {
	t.Helper()
	if open := pool.Stats().Open; open != want {
		t.Errorf("%d connections are open, want %d", open, want)
	}
}

func anyRequest() *Request {
	return &Request{
		Method:              "POST",
		URL:                 &url.URL{Path: "/pay"},
		Host:                "x",
		Header:              http.Header{},
		Body:                []byte("b"),
		ResponseReadTimeout: responseReadTimeout,
	}
}
