package downstream

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// rawConn returns the syscall.RawConn of a listener or connection, which gives access to its file
// descriptor.
func rawConn(socket any) (syscall.RawConn, error) {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return conn.SyscallConn()
}

// dropHandshakes attaches a socket filter that drops every further packet to a listening socket, so
// that no new connection is established. Established connections have their own sockets and are not
// affected.
func dropHandshakes(raw syscall.RawConn) error {
	dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0}
	program := unix.SockFprog{Len: 1, Filter: &dropAll}
	return control(raw, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
}

// acceptAllQueued accepts all connections in the accept queue of a listening socket and returns their
// descriptors. As soon as the queue is empty, it shuts the listening socket down. A connection that
// is established between the last accept and the shutdown is reset; dropHandshakes prevents that.
// After an error the socket is still listening.
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
			case unix.EINTR, unix.ECONNABORTED: // accept the next connection
			default:
				return errno
			}
		}
	})
	return descriptors, err
}

// acceptOrShutdown accepts a connection or, if the accept queue is empty, shuts the listening socket
// down and returns EAGAIN. It uses raw system calls so that the scheduler runs no other goroutine
// between the two calls, during which further connections could be established.
func acceptOrShutdown(fd int) (int, unix.Errno) {
	const flags = unix.SOCK_NONBLOCK | unix.SOCK_CLOEXEC
	accepted, _, errno := unix.RawSyscall6(unix.SYS_ACCEPT4, uintptr(fd), 0, 0, flags, 0, 0)
	if errno == unix.EAGAIN {
		// Shutdown cannot fail for a listening socket, and the listener is closed next anyway.
		_, _, _ = unix.RawSyscall(unix.SYS_SHUTDOWN, uintptr(fd), unix.SHUT_RD, 0)
	}
	return int(accepted), errno
}

// control calls a function with the file descriptor of a socket.
func control(raw syscall.RawConn, call func(fd int) error) error {
	var callErr error
	err := raw.Control(func(fd uintptr) { callErr = call(int(fd)) })
	return errors.Join(err, callErr)
}
