package testkit

import (
	"net"
	"testing"
	"time"

	"calicohinge/internal/endpointjson"
)

// connectTimeout ends a connection attempt to a listener with a full backlog. Others succeed at once over
// loopback.
const connectTimeout = 100 * time.Millisecond

// failuresUntilFull is how many attempts in a row have to fail: a single one may fail on a paused process too.
const failuresUntilFull = 3

// fillBacklog calls open, which opens a connection and returns false if the attempt fails, until the backlog
// is full.
func fillBacklog(open func() bool) {
	for failures := 0; failures < failuresUntilFull; {
		if open() {
			failures = 0
		} else {
			failures++
		}
	}
}

// maxReportedBytes is how many bytes of a connection StuckServer.Admit reports at most.
const maxReportedBytes = 64

// StuckServer is a listener with a full backlog: connections to it are established only once Admit
// is called.
type StuckServer struct {
	net.Listener
}

// NewStuckServer starts a listener and fills its backlog.
func NewStuckServer(t *testing.T) *StuckServer {
	t.Helper()
	listener := Listen(t)
	if err := setBacklog(listener.(*net.TCPListener), 0); err != nil {
		t.Fatal(err)
	}
	fillBacklog(func() bool {
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), connectTimeout)
		if err != nil {
			return false
		}
		t.Cleanup(func() { _ = conn.Close() })
		return true
	})
	return &StuckServer{listener}
}

// Endpoint returns the server's entry in an endpoint list.
func (s *StuckServer) Endpoint(id string) endpointjson.Endpoint {
	return readyEndpoint(id, s.Addr().String())
}

// Admit accepts every connection and reports the first bytes of each that sends any.
func (s *StuckServer) Admit() <-chan string {
	received := make(chan string, 100)
	go serveUntilClosed(s.Listener, func(conn net.Conn) {
		defer func() { _ = conn.Close() }() // only the first bytes are of interest
		first := make([]byte, maxReportedBytes)
		if n, _ := conn.Read(first); n > 0 { // a client that disconnects sends nothing
			received <- string(first[:n])
		}
	})
	return received
}
