package testkit

import (
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Machine is an HTTP service on a machine that may vanish from the network and return. While it is away it
// says nothing: open connections stay open and silent, and the system drops the packets that open new ones.
// When it returns, the connections from before are reset.
type Machine struct {
	Address string

	listener *net.TCPListener
	answer   func(r *http.Request) Response

	mu      sync.Mutex
	away    bool
	changed chan struct{} // closed at the next Partition or Heal
	stays   int           // how often the machine has returned
	fillers []net.Conn    // which fill the accept queue while it is away

	pendingAccept chan struct{} // closed when the pending Accept returns; nil: none is pending
}

// Response is the response to a call of a Machine.
type Response struct {
	Status int // 0: the call's connection is reset
	Body   string
	Sent   func() // called just before it is sent; nil: nobody wants to know
}

// NewMachine starts a service that answers each call with what the function returns, which may block. It
// stops at the end of the test.
func NewMachine(tb testing.TB, answer func(r *http.Request) Response) *Machine {
	tb.Helper()
	listener, err := ListenOnNewHost()
	if err != nil {
		tb.Fatal(err)
	}
	m := &Machine{
		Address: listener.Addr().String(), listener: listener.(*net.TCPListener),
		answer: answer, changed: make(chan struct{}),
	}
	m.serve(tb, listener)
	return m
}

// serve serves connections, which it accepts by way of a listener, until the end of the test.
func (m *Machine) serve(tb testing.TB, listener net.Listener) {
	tb.Helper()
	server := &http.Server{Handler: m}
	go func() { _ = server.Serve(machineListener{listener, m}) }() // ends with the server's Close
	tb.Cleanup(func() {
		m.setAway(false)
		_ = server.Close() // the test is over
	})
}

// Partition takes the machine off the network. When it returns, connection attempts hang.
func (m *Machine) Partition(tb testing.TB) {
	tb.Helper()
	m.setAway(true)
	m.setBacklog(tb, 0)
	m.completePendingAccept()
	for m.addFiller() { // until a connection attempt hangs
	}
}

// completePendingAccept returns once no Accept is pending, or the machine is back. An Accept that was
// pending when the machine vanished takes one more connection out of the accept queue, and so makes room
// for another; a later one takes none while the machine is away.
func (m *Machine) completePendingAccept() {
	m.mu.Lock()
	pending, changed, away := m.pendingAccept, m.changed, m.away
	m.mu.Unlock()
	if pending == nil || !away {
		return
	}
	m.addFiller() // for the pending Accept, if no other connection is in the queue
	select {
	case <-pending:
	case <-changed:
	}
}

// addFiller opens a connection that stays in the accept queue. It reports false if the queue is full or
// the machine is back.
func (m *Machine) addFiller() bool {
	conn, err := net.DialTimeout("tcp", m.Address, connectTimeout)
	if err != nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.away {
		_ = conn.Close() // nothing was sent on it
		return false
	}
	m.fillers = append(m.fillers, conn)
	return true
}

// Heal brings the machine back.
func (m *Machine) Heal(tb testing.TB) {
	tb.Helper()
	m.setBacklog(tb, syscall.SOMAXCONN)
	m.setAway(false)
}

// ServeHTTP implements http.Handler. A call that lasts until the machine vanishes is reset when it returns.
func (m *Machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	stay, _ := m.present(r)
	answer := m.answer(r)
	if now, ok := m.present(r); !ok || now != stay || answer.Status == 0 {
		resetConnection(w)
		return
	}
	if answer.Sent != nil {
		answer.Sent()
	}
	w.WriteHeader(answer.Status)
	_, _ = io.WriteString(w, answer.Body) // the client may have disconnected
}

// present waits until the machine is there, and returns in which of its stays it is. It reports false if
// the client disconnects before.
func (m *Machine) present(r *http.Request) (stay int, ok bool) {
	for {
		m.mu.Lock()
		away, changed, stay := m.away, m.changed, m.stays
		m.mu.Unlock()
		if !away {
			return stay, true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return stay, false
		}
	}
}

func (m *Machine) setAway(away bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.away == away {
		return
	}
	m.away = away
	close(m.changed)
	m.changed = make(chan struct{})
	if !away {
		m.stays++
		closeAll(m.fillers)
		m.fillers = nil
	}
}

// awaitPresence blocks while the machine is away.
func (m *Machine) awaitPresence() { m.whenPresent(func() {}) }

// whenPresent waits until the machine is there and then calls a function, which holds m.mu.
func (m *Machine) whenPresent(call func()) {
	for {
		m.mu.Lock()
		if !m.away {
			call()
			m.mu.Unlock()
			return
		}
		changed := m.changed
		m.mu.Unlock()
		<-changed
	}
}

// acceptReturned records that the pending Accept has returned.
func (m *Machine) acceptReturned() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.pendingAccept)
	m.pendingAccept = nil
}

// setBacklog sets how many connections the system establishes ahead of Accept.
func (m *Machine) setBacklog(tb testing.TB, connections int) {
	tb.Helper()
	raw, err := m.listener.SyscallConn()
	if err != nil {
		tb.Fatal(err)
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), connections) })
	if err != nil || listenErr != nil {
		tb.Fatal(err, listenErr)
	}
}

// machineListener accepts no connection while its machine is away.
type machineListener struct {
	net.Listener
	machine *Machine
}

func (l machineListener) Accept() (net.Conn, error) {
	returned := make(chan struct{})
	l.machine.whenPresent(func() { l.machine.pendingAccept = returned })
	conn, err := l.Listener.Accept()
	l.machine.acceptReturned()
	if err == nil {
		l.machine.awaitPresence() // it may have vanished meanwhile
	}
	return conn, err
}

// resetConnection ends the connection of a request with a reset.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it is closed in either case
	}
	_ = conn.Close() // the peer sees the reset
}

func closeAll(conns []net.Conn) {
	for _, conn := range conns {
		_ = conn.Close() // nothing was sent on it
	}
}

// LongPoll blocks a call of the endpoint list for as long as it asks to wait, until changed is closed or
// until its caller disconnects.
func LongPoll(r *http.Request, changed <-chan struct{}) {
	wait, err := time.ParseDuration(r.URL.Query().Get("wait_ms") + "ms")
	if err != nil {
		return // it asks for no wait
	}
	select {
	case <-changed:
	case <-r.Context().Done():
	case <-time.After(wait):
	}
}
