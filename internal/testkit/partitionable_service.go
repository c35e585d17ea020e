package testkit

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// PartitionableService is an HTTP service that can be cut off by a network partition. During the partition, open
// connections stay open but carry no data, and the system drops the packets that would open new connections. When
// the partition ends, calls that were in progress at its start are reset, and calls that were sent during the
// partition get their responses.
type PartitionableService struct {
	Address string

	listener *net.TCPListener
	respond  func(r *http.Request) Response

	mu          sync.Mutex
	partitioned bool
	epoch       int           // number of partitions that have ended
	changed     chan struct{} // closed and replaced whenever a partition begins or ends
	fillers     []net.Conn    // connections that fill the accept queue during a partition

	pendingAccept chan struct{} // closed when the pending Accept returns; nil if no Accept is pending
}

// Response is the response to a call to a PartitionableService.
type Response struct {
	Status int // 0: the connection of the call is reset
	Body   string
	Sent   func() // called just before the response is sent; may be nil
}

// NewPartitionableService starts a service that responds to each call with the result of respond, which may block. The
// service stops at the end of the test.
func NewPartitionableService(tb testing.TB, respond func(r *http.Request) Response) *PartitionableService {
	tb.Helper()
	listener, err := ListenOnNewHost()
	if err != nil {
		tb.Fatal(err)
	}
	m := &PartitionableService{
		Address: listener.Addr().String(), listener: listener.(*net.TCPListener),
		respond: respond, changed: make(chan struct{}),
	}
	m.serve(tb, listener)
	return m
}

// serve serves the connections that a listener accepts until the end of the test.
func (s *PartitionableService) serve(tb testing.TB, listener net.Listener) {
	tb.Helper()
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(partitionableListener{listener, s}) }() // returns when the server is closed
	tb.Cleanup(func() {
		s.endPartition()
		_ = server.Close() // errors do not matter after the test
	})
}

// ServeHTTP implements http.Handler. When a partition ends, a call that was in progress at its start is reset, and
// a call that arrived during the partition gets its response.
func (s *PartitionableService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	startEpoch, _ := s.awaitReachable(r)
	response := s.respond(r)
	epoch, connected := s.awaitReachable(r)
	partitionedMeanwhile := epoch != startEpoch
	if !connected || partitionedMeanwhile || response.Status == 0 {
		resetConnection(w)
		return
	}
	if response.Sent != nil {
		response.Sent()
	}
	w.WriteHeader(response.Status)
	_, _ = io.WriteString(w, response.Body) // the client may have disconnected
}

// awaitReachable waits until the service is reachable, and returns the epoch and true. If the client disconnects
// first, it returns false.
func (s *PartitionableService) awaitReachable(r *http.Request) (int, bool) {
	for {
		s.mu.Lock()
		partitioned, changed, epoch := s.partitioned, s.changed, s.epoch
		s.mu.Unlock()
		if !partitioned {
			return epoch, true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return epoch, false
		}
	}
}
