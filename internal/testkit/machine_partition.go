package testkit

import (
	"net"
	"syscall"
	"testing"
)

// Partition cuts the machine off the network. When it returns, connection attempts hang.
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

// beginPartition makes the machine unreachable, unless it is already.
func (m *Machine) beginPartition() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.partitioned {
		return
	}
	m.partitioned = true
	m.signalChange()
}

// endPartition makes the machine reachable again and begins an epoch, if it is partitioned.
func (m *Machine) endPartition() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.partitioned {
		return
	}
	m.partitioned = false
	m.epoch++
	for _, conn := range m.fillers {
		_ = conn.Close() // nothing was sent on it
	}
	m.fillers = nil
	m.signalChange()
}

// signalChange wakes the goroutines that wait for a partition to begin or end. The caller holds m.mu.
func (m *Machine) signalChange() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// awaitPendingAccept waits until no Accept is pending, or until the machine is healed. An Accept that was
// pending when the partition began takes one more connection out of the accept queue, so that another can be
// established. An Accept that is called later takes none during the partition.
func (m *Machine) awaitPendingAccept() {
	m.mu.Lock()
	pending, changed, partitioned := m.pendingAccept, m.changed, m.partitioned
	m.mu.Unlock()
	if pending == nil || !partitioned {
		return
	}
	m.addFiller() // for the pending Accept, if no other connection is in the queue
	select {
	case <-pending:
	case <-changed:
	}
}

// addFiller opens a connection that stays in the accept queue. It returns false if the queue is full or
// the machine is healed.
func (m *Machine) addFiller() bool {
	conn, err := net.DialTimeout("tcp", m.Address, connectTimeout)
	if err != nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.partitioned {
		_ = conn.Close() // nothing was sent on it
		return false
	}
	m.fillers = append(m.fillers, conn)
	return true
}

// setBacklog sets how many connections the system establishes ahead of Accept.
func (m *Machine) setBacklog(tb testing.TB, connections int) {
	tb.Helper()
	if err := setBacklog(m.listener, connections); err != nil {
		tb.Fatal(err)
	}
}

// machineListener accepts no connection during a partition of its machine.
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
		l.machine.whenReachable(func() {}) // a partition may have begun meanwhile
	}
	return conn, err
}

// whenReachable waits until the machine is reachable and then calls a function, with m.mu held.
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
