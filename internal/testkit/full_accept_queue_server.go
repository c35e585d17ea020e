package testkit

import (
	"net"
	"testing"
	"time"

	"calicohinge/internal/endpointjson"
)

// connectTimeout bounds an attempt to connect to a listener whose accept queue may be full. As long as the accept queue
// is not full, a connection over the loopback interface is established immediately.
const connectTimeout = 100 * time.Millisecond

// failuresUntilFull is the number of consecutive failures to connect after which an accept queue is considered full. A
// single attempt may also fail because the process was paused.
const failuresUntilFull = 3

// fillAcceptQueue calls open until the accept queue is full. Each call opens a connection and returns false if that
// fails.
func fillAcceptQueue(open func() bool) {
	for failures := 0; failures < failuresUntilFull; {
		if open() {
			failures = 0
		} else {
			failures++
		}
	}
}

// maxReportedBytes is the maximum number of bytes that FullAcceptQueueServer.AcceptAll reports per connection.
const maxReportedBytes = 64

// FullAcceptQueueServer is a listener with a full accept queue. New connections are not established until AcceptAll is
// called.
type FullAcceptQueueServer struct {
	net.Listener
}

// NewFullAcceptQueueServer starts a listener and fills its accept queue. It is closed at the end of the test.
func NewFullAcceptQueueServer(t *testing.T) *FullAcceptQueueServer {
	t.Helper()
	listener := Listen(t)
	if err := setBacklog(listener.(*net.TCPListener), 0); err != nil {
		t.Fatalf("set the backlog of %s to 0: %v", listener.Addr(), err)
	}
	fillAcceptQueue(func() bool {
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), connectTimeout)
		if err != nil {
			return false
		}
		t.Cleanup(func() { _ = conn.Close() })
		return true
	})
	return &FullAcceptQueueServer{listener}
}

// Endpoint returns an entry of an endpoint list for the server, which is ready.
func (s *FullAcceptQueueServer) Endpoint(id string) endpointjson.Endpoint {
	return readyEndpoint(id, s.Addr().String())
}

// AcceptAll starts to accept all connections. The returned channel receives the first bytes of each connection on
// which the client sends any.
func (s *FullAcceptQueueServer) AcceptAll() <-chan string {
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
