// Package sockstate finds out without reading whether the peer of a connected socket
// has written to it or has closed it. Packages downstream and upstream call it, for
// the connections of clients and for pooled connections to servers. It keeps no state
// and does not change that of the socket.
package sockstate

import (
	"errors"
	"net"
	"syscall"
)

// State is what a socket shows at the moment it is inspected.
type State int

// The states of a socket.
const (
	Quiet    State = iota // open, with nothing to read
	Readable              // unread bytes have arrived
	Closed                // closed by the peer or here, broken, or not a socket
)

// String names the state.
func (s State) String() string {
	switch s {
	case Quiet:
		return "quiet"
	case Readable:
		return "readable"
	case Closed:
		return "closed"
	}
	return "unknown"
}

// Peek returns the state of conn. It never blocks and leaves unread bytes where
// they are.
func Peek(conn net.Conn) State {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return Closed
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	// Control, not Read: Read waits for a reader that is already blocked in it.
	if err := raw.Control(func(fd uintptr) { state = peek(int(fd)) }); err != nil {
		return Closed
	}
	return state
}

// peek inspects the socket of a file descriptor.
func peek(fd int) State {
	var buffer [1]byte
	for {
		n, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.EINTR) {
			continue // interrupted by a signal, which says nothing about the socket
		}
		return stateOf(n, err)
	}
}

// stateOf returns the state that follows from the result of a receive call.
func stateOf(n int, err error) State {
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.ENOMEM), errors.Is(err, syscall.ENOBUFS):
		return Quiet // the latter two are temporary shortages of the system
	case err == nil && n > 0:
		return Readable
	}
	return Closed
}
