package testkit

import (
	"net"
	"testing"
	"time"

	"calicohinge/internal/endpointjson"
)

// connectTimeout bounds an attempt to connect to a listener whose backlog may be full. As long as the backlog is not
// full, a connection over the loopback interface is established immediately.
const connectTimeout = 100 * time.Millisecond

// failuresUntilFull is the number of consecutive failures to connect after which a backlog is considered full. A
// single attempt may also fail because the process was paused.
const failuresUntilFull = 3

// fillBacklog calls open until the backlog is full. Each call opens a connection and returns false if that fails.
func fillBacklog(open func() bool) {
	for failures := 0; failures < failuresUntilFull; {
		if open() {
			failures = 0
		} else {
			failures++
		}
	}
}

// maxReportedBytes is the maximum number of bytes that FullBacklogServer.AcceptAll reports per connection.
const maxReportedBytes = 64

// FullBacklogServer is a listener with a full backlog. New connections are not established until AcceptAll is called.
type FullBacklogServer struct {
	net.Listener
}

// NewFullBacklogServer starts a listener and fills its backlog. It is closed at the end of the test.
func NewFullBacklogServer(t *testing.T) *FullBacklogServer {
	t.Helper()
	listener := Listen(t)
	if err := setBacklog(listener.(*net.TCPListener), 0); err != nil {
		t.Fatalf("set the backlog of %s to 0: %v", listener.Addr(), err)
	}
	fillBacklog(func() bool {
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), connectTimeout)
		if err != nil {
			return false
		}
		t.Cleanup(func() { _ = conn.Close() })
		return true
	})
	return &FullBacklogServer{listener}
}

// Endpoint returns an entry of an endpoint list for the server, which is ready.
func (s *FullBacklogServer) Endpoint(id string) endpointjson.Endpoint {
	return readyEndpoint(id, s.Addr().String())
}

// AcceptAll starts to accept all connections. The returned channel receives the first bytes of each connection on
// which the client sends any.
func (s *FullBacklogServer) AcceptAll() <-chan string {
	received := make(chan string, 100)
	go serveUntilClosed(s.Listener, func(conn net.Conn) {
		defer func() { _ = conn.Close() }() // the client may have closed it already
		first := make([]byte, maxReportedBytes)
		if n, _ := conn.Read(first); n > 0 { // n is 0 if the client disconnected without sending
			received <- string(first[:n])
		}
	})
	return received
}
