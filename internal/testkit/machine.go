package testkit

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// Machine is an HTTP service on a machine that a network partition may cut off. While it is partitioned,
// open connections stay open and carry nothing, and the system drops the packets that open new ones. When
// it is healed, the connections from before are reset.
type Machine struct {
	Address string

	listener *net.TCPListener
	respond  func(r *http.Request) Response

	mu          sync.Mutex
	partitioned bool
	epoch       int           // how often the machine was healed
	changed     chan struct{} // closed at the next Partition or Heal
	fillers     []net.Conn    // connections that fill the accept queue during a partition

	pendingAccept chan struct{} // closed when the pending Accept returns; nil: none is pending
}

// Response is the response to a call of a Machine.
type Response struct {
	Status int // 0: the call's connection is reset
	Body   string
	Sent   func() // called just before the response is sent; may be nil
}

// NewMachine starts a service that responds to each call with what the function returns. The function may
// block. The service stops at the end of the test.
func NewMachine(tb testing.TB, respond func(r *http.Request) Response) *Machine {
	tb.Helper()
	listener, err := ListenOnNewHost()
	if err != nil {
		tb.Fatal(err)
	}
	m := &Machine{
		Address: listener.Addr().String(), listener: listener.(*net.TCPListener),
		respond: respond, changed: make(chan struct{}),
	}
	m.serve(tb, listener)
	return m
}

// serve serves the connections that a listener accepts, until the end of the test.
func (m *Machine) serve(tb testing.TB, listener net.Listener) {
	tb.Helper()
	server := &http.Server{Handler: m}
	go func() { _ = server.Serve(machineListener{listener, m}) }() // ends with the server's Close
	tb.Cleanup(func() {
		m.endPartition()
		_ = server.Close() // the test is over
	})
}

// ServeHTTP implements http.Handler. A call that is open when the machine is partitioned is reset when the
// machine is healed.
func (m *Machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	startEpoch, _ := m.awaitReachable(r)
	response := m.respond(r)
	epoch, connected := m.awaitReachable(r)
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

// awaitReachable waits until the machine is reachable and returns its epoch. It returns false if the client
// disconnects before that.
func (m *Machine) awaitReachable(r *http.Request) (int, bool) {
	for {
		m.mu.Lock()
		partitioned, changed, epoch := m.partitioned, m.changed, m.epoch
		m.mu.Unlock()
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
