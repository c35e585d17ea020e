// Package sockstate determines, without consuming data, whether the peer of a connected socket has written to it or
// closed it. Package downstream uses it for connections of clients, package upstream for pooled connections to
// servers. It keeps no state and does not change that of the socket.
package sockstate

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// State is the state of a socket at the time at which Peek was called.
type State int

// States of a socket.
const (
	Idle     State = iota // open, with nothing to read
	Readable              // unread bytes have arrived
	Closed                // closed by the peer or by this process, broken, or not a socket
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Idle:
		return "idle"
	case Readable:
		return "readable"
	case Closed:
		return "closed"
	}
	return "unknown"
}

// Peek returns the state of conn. It never blocks and does not consume unread bytes.
func Peek(conn net.Conn) State {
	state := Closed
	if err := control(conn, func(fd int) { state = peek(fd) }); err != nil {
		return Closed
	}
	return state
}

// PeerClosed reports whether the peer of a socket has closed its sending side or reset the connection, also if unread
// bytes have arrived before that. It reports false where the system does not tell.
func PeerClosed(fd int) bool {
	poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	for {
		_, err := unix.Poll(poll, 0)
		if errors.Is(err, unix.EINTR) {
			continue // interrupted by a signal; the socket's state is still unknown
		}
		return err == nil && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	}
}

// SinceLastData returns the time since bytes last arrived at a TCP socket, whether or not they have been read. It reports
// false if the system does not tell.
func SinceLastData(conn net.Conn) (time.Duration, bool) {
	var info *unix.TCPInfo
	var infoErr error
	err := control(conn, func(fd int) {
		info, infoErr = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	// A system that has no such record, or an emulation of sockets, leaves the fields at zero.
	if err != nil || infoErr != nil || info.Bytes_received == 0 {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// Unacknowledged returns the number of bytes that were written to a TCP socket and that the peer has not acknowledged. It
// reports false if the system does not tell.
func Unacknowledged(conn net.Conn) (int, bool) {
	bytes := 0
	var ioctlErr error
	err := control(conn, func(fd int) { bytes, ioctlErr = unix.IoctlGetInt(fd, unix.SIOCOUTQ) })
	if err != nil || ioctlErr != nil {
		return 0, false
	}
	return bytes, true
}

// errNoSocket is the error of control for a connection that is not a socket.
var errNoSocket = errors.New("connection is not a socket")

// control calls inspect with the file descriptor of a connection. It uses RawConn.Control, because RawConn.Read would
// wait as long as another goroutine is blocked in a read of the connection.
func control(conn net.Conn, inspect func(fd int)) error {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { inspect(int(fd)) })
}

// peek returns the state of the socket with the given file descriptor.
func peek(fd int) State {
	var buffer [1]byte
	for {
		n, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.EINTR) {
			continue // interrupted by a signal; the socket's state is still unknown
		}
		return stateOf(n, err)
	}
}

// stateOf returns the state that the result of a receive call implies.
func stateOf(n int, err error) State {
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.ENOMEM), errors.Is(err, syscall.ENOBUFS):
		return Idle // ENOMEM and ENOBUFS are transient shortages of this machine
	case err == nil && n > 0:
		return Readable
	}
	return Closed
}
