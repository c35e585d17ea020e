package testkit

import (
	"net"
	"syscall"
	"testing"
)

// Partition cuts the machine off from the network. After Partition has returned, attempts to connect time out.
func (m *Machine) Partition(tb testing.TB) {
	tb.Helper()
	m.beginPartition()
	m.setBacklog(tb, 0)
	m.awaitPendingAccept()
	fillBacklog(m.addFiller)
}

// Heal ends the partition.
func (m *Machine) Heal(tb testing.TB) {
	tb.Helper()
	m.setBacklog(tb, syscall.SOMAXCONN)
	m.endPartition()
}

// beginPartition makes the machine unreachable. It has no effect if the machine is partitioned already.
func (m *Machine) beginPartition() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.partitioned {
		return
	}
	m.partitioned = true
	m.signalChange()
}

// endPartition makes the machine reachable and starts a new epoch. It has no effect if the machine is not
// partitioned.
func (m *Machine) endPartition() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.partitioned {
		return
	}
	m.partitioned = false
	m.epoch++
	for _, conn := range m.fillers {
		_ = conn.Close() // no data was sent
	}
	m.fillers = nil
	m.signalChange()
}

// signalChange wakes the goroutines that wait until a partition begins or ends. The caller holds m.mu.
func (m *Machine) signalChange() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// awaitPendingAccept waits until no Accept is pending or the partition ends. An Accept that was pending when the
// partition began takes one more connection from the accept queue, which frees a place for another connection. An
// Accept that is called during the partition takes no connection until the partition ends.
func (m *Machine) awaitPendingAccept() {
	m.mu.Lock()
	pending, changed, partitioned := m.pendingAccept, m.changed, m.partitioned
	m.mu.Unlock()
	if pending == nil || !partitioned {
		return
	}
	m.addFiller() // lets the pending Accept return if the queue is empty
	select {
	case <-pending:
	case <-changed:
	}
}

// addFiller adds a connection to the accept queue. It returns false if the queue is full or the partition has
// ended.
func (m *Machine) addFiller() bool {
	conn, err := net.DialTimeout("tcp", m.Address, connectTimeout)
	if err != nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.partitioned {
		_ = conn.Close() // no data was sent
		return false
	}
	m.fillers = append(m.fillers, conn)
	return true
}

// setBacklog sets how many connections the system establishes before they are accepted.
func (m *Machine) setBacklog(tb testing.TB, connections int) {
	tb.Helper()
	if err := setBacklog(m.listener, connections); err != nil {
		tb.Fatalf("set the backlog of %s to %d: %v", m.Address, connections, err)
	}
}

// machineListener is a listener that accepts no connections while its machine is partitioned.
type machineListener struct {
	net.Listener
	machine *Machine
}

// Accept implements net.Listener.
func (l machineListener) Accept() (net.Conn, error) {
	returned := make(chan struct{})
	l.machine.whenReachable(func() { l.machine.pendingAccept = returned })
	conn, err := l.Listener.Accept()
	l.machine.acceptReturned()
	if err == nil {
		l.machine.whenReachable(func() {}) // a partition may have begun during Accept
	}
	return conn, err
}

// whenReachable waits until the machine is reachable, then calls the function with m.mu held.
func (m *Machine) whenReachable(call func()) {
	for {
		m.mu.Lock()
		if !m.partitioned {
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
