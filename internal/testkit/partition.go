package testkit

import (
	"net"
	"syscall"
	"testing"
)

// Partition cuts the service off from the network. After Partition has returned, attempts to connect time out.
func (s *PartitionableService) Partition(tb testing.TB) {
	tb.Helper()
	s.beginPartition()
	s.setBacklog(tb, 0)
	s.awaitPendingAccept()
	fillAcceptQueue(s.addFiller)
}

// Heal ends the partition.
func (s *PartitionableService) Heal(tb testing.TB) {
	tb.Helper()
	s.setBacklog(tb, syscall.SOMAXCONN)
	s.endPartition()
}

// beginPartition makes the service unreachable. It has no effect if the service is partitioned already.
func (s *PartitionableService) beginPartition() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.partitioned {
		return
	}
	s.partitioned = true
	s.signalChange()
}

// endPartition makes the service reachable and starts a new epoch. It has no effect if the service is not
// partitioned.
func (s *PartitionableService) endPartition() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.partitioned {
		return
	}
	s.partitioned = false
	s.epoch++
	for _, conn := range s.fillers {
		_ = conn.Close() // no data was sent
	}
	s.fillers = nil
	s.signalChange()
}

// signalChange wakes the goroutines that wait until a partition begins or ends. The caller holds s.mu.
func (s *PartitionableService) signalChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// awaitPendingAccept waits until no Accept is pending or the partition ends. An Accept that was pending when the
// partition began takes one more connection from the accept queue, which frees a place for another connection. An
// Accept that is called during the partition takes no connection until the partition ends.
func (s *PartitionableService) awaitPendingAccept() {
	s.mu.Lock()
	pending, changed, partitioned := s.pendingAccept, s.changed, s.partitioned
	s.mu.Unlock()
	if pending == nil || !partitioned {
		return
	}
	s.addFiller() // lets the pending Accept return if the queue is empty
	select {
	case <-pending:
	case <-changed:
	}
}

// addFiller adds a connection to the accept queue. It returns false if the queue is full or the partition has
// ended.
func (s *PartitionableService) addFiller() bool {
	conn, err := net.DialTimeout("tcp", s.Address, connectTimeout)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.partitioned {
		_ = conn.Close() // no data was sent
		return false
	}
	s.fillers = append(s.fillers, conn)
	return true
}

// setBacklog sets how many connections the system establishes before they are accepted.
func (s *PartitionableService) setBacklog(tb testing.TB, connections int) {
	tb.Helper()
	if err := setBacklog(s.listener, connections); err != nil {
		tb.Fatalf("set the backlog of %s to %d: %v", s.Address, connections, err)
	}
}

// partitionableListener is a listener that accepts no connections while its service is partitioned.
type partitionableListener struct {
	net.Listener
	service *PartitionableService
}

// Accept implements net.Listener.
func (l partitionableListener) Accept() (net.Conn, error) {
	returned := make(chan struct{})
	l.service.whenReachable(func() { l.service.pendingAccept = returned })
	conn, err := l.Listener.Accept()
	l.service.acceptReturned()
	if err == nil {
		l.service.whenReachable(func() {}) // a partition may have begun during Accept
	}
	return conn, err
}

// whenReachable waits until the service is reachable, then calls the function with s.mu held.
func (s *PartitionableService) whenReachable(call func()) {
	for {
		s.mu.Lock()
		if !s.partitioned {
			call()
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		<-changed
	}
}

// acceptReturned records that the pending Accept has returned.
func (s *PartitionableService) acceptReturned() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.pendingAccept)
	s.pendingAccept = nil
}
