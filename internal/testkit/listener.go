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

// hostCount counts the loopback hosts that were given out.
var hostCount atomic.Uint32 //nolint:gochecknoglobals // shared by all tests of a process, so that no host is given out twice

// newLoopbackHost returns a loopback host that it has returned to nobody else in this process. A node may go on
// calling a stand-in that has stopped, and its calls must not arrive at another one. The second octet
// separates test processes that run at the same time.
func newLoopbackHost() string {
	const firstOctet, octets = 16, 111
	number := hostCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", firstOctet+os.Getpid()%octets, number>>8&0xff, number&0xff)
}

// ListenOnNewHost starts a TCP listener at a loopback host of its own. The caller closes it.
func ListenOnNewHost() (net.Listener, error) {
	return net.Listen("tcp", net.JoinHostPort(newLoopbackHost(), "0"))
}

// Listen starts a TCP listener at a loopback host of its own. It is closed at the end of the test.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := ListenOnNewHost()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // the test may have closed it
	return listener
}

// setBacklog sets how many connections the system establishes at a listener ahead of Accept. With 0 it
// establishes one.
func setBacklog(listener *net.TCPListener, connections int) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	controlErr := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), connections) })
	return errors.Join(controlErr, listenErr)
}

// serveUntilClosed serves each connection in a goroutine of its own until the listener is closed.
// Then it closes the connections, which ends these goroutines.
func serveUntilClosed(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }() // by then its goroutine may have closed it
		go serve(conn)
	}
}

// FreeAddr returns a loopback address at which nobody listens.
func FreeAddr(t *testing.T) string {
	t.Helper()
	listener, err := ListenOnNewHost()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // nothing was accepted
	return listener.Addr().String()
}
