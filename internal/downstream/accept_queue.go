package downstream

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// rawConn gives access to the descriptor of a socket.
func rawConn(socket any) (syscall.RawConn, error) {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return conn.SyscallConn()
}

// dropHandshakes makes the system drop every further packet to a listening socket, so that no
// new connection is established. Established connections have sockets of their own.
func dropHandshakes(raw syscall.RawConn) error {
	dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0}
	program := unix.SockFprog{Len: 1, Filter: &dropAll}
	return control(raw, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
}

// acceptAllQueued accepts all connections in the accept queue of a listening socket. When the queue
// is empty it ends the listening at once. A connection that is established between the two is
// reset; dropHandshakes prevents that. After an error the socket still listens.
func acceptAllQueued(raw syscall.RawConn) ([]int, error) {
	var descriptors []int
	err := control(raw, func(fd int) error {
		for {
			descriptor, errno := acceptOrShutdown(fd)
			switch errno {
			case 0:
				descriptors = append(descriptors, descriptor)
			case unix.EAGAIN:
				return nil
			case unix.EINTR, unix.ECONNABORTED:
			default:
				return errno
			}
		}
	})
	return descriptors, err
}

// acceptOrShutdown accepts a connection or, if there is none, ends the listening and returns
// EAGAIN. It makes raw system calls, so that the scheduler runs no other goroutine between the
// two: connections could be established meanwhile.
func acceptOrShutdown(fd int) (int, unix.Errno) {
	const flags = unix.SOCK_NONBLOCK | unix.SOCK_CLOEXEC
	accepted, _, errno := unix.RawSyscall6(unix.SYS_ACCEPT4, uintptr(fd), 0, 0, flags, 0, 0)
	if errno == unix.EAGAIN {
		// It cannot fail for a listening socket. The listener is closed next, in any case.
		_, _, _ = unix.RawSyscall(unix.SYS_SHUTDOWN, uintptr(fd), unix.SHUT_RD, 0)
	}
	return int(accepted), errno
}

// control calls a function with the descriptor of a socket.
func control(raw syscall.RawConn, call func(fd int) error) error {
	var callErr error
	err := raw.Control(func(fd uintptr) { callErr = call(int(fd)) })
	return errors.Join(err, callErr)
}
