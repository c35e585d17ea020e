package testkit

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
)

// hostCount is the number of loopback hosts that newLoopbackHost has returned.
var hostCount atomic.Uint32 //nolint:gochecknoglobals // all tests of a process share the count: each host must be new

// newLoopbackHost returns a loopback host that it has not returned before in this process. A node may continue to
// call a fake service that has stopped, and these calls must not arrive at another fake service. The second octet
// depends on the process ID, which separates most test processes that run at the same time.
func newLoopbackHost() string {
	const firstOctet, octets = 16, 111
	number := hostCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", firstOctet+os.Getpid()%octets, number>>8&0xff, number&0xff)
}

// ListenOnNewHost starts a TCP listener at a new loopback host. The caller must close it.
func ListenOnNewHost() (net.Listener, error) {
	return net.Listen("tcp", net.JoinHostPort(newLoopbackHost(), "0"))
}

// Listen starts a TCP listener at a new loopback host. It is closed at the end of the test.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := ListenOnNewHost()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // the test may have closed it already
	return listener
}

// setBacklog sets how many connections the system establishes for a listener before they are accepted. A backlog
// of 0 still admits one connection.
func setBacklog(listener *net.TCPListener, connections int) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	controlErr := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), connections) })
	return errors.Join(controlErr, listenErr)
}

// serveUntilClosed serves each connection in its own goroutine until the listener is closed. Then it closes all
// connections, which ends these goroutines.
func serveUntilClosed(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }() // serve may have closed the connection already
		go serve(conn)
	}
}

// FreeAddr returns a loopback address on which no process listens.
func FreeAddr(t *testing.T) string {
	t.Helper()
	listener, err := ListenOnNewHost()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // no connection has been accepted
	return listener.Addr().String()
}
