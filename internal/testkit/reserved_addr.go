package testkit

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"syscall"
	"testing"
)

// ReservedAddr is a bound loopback address: no other process can use it, and it refuses connections until Listen
// is called.
type ReservedAddr struct {
	Address string
	file    *os.File
}

// ReserveAddr binds a free loopback port until the end of the test.
func ReserveAddr(t *testing.T) *ReservedAddr {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatalf("create a TCP socket: %v", err)
	}
	file := os.NewFile(uintptr(fd), "reserved address")
	t.Cleanup(func() { _ = file.Close() }) // a listener has its own duplicate of the descriptor
	host := newLoopbackHost()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: netip.MustParseAddr(host).As4()}); err != nil {
		t.Fatalf("bind a socket to %s: %v", host, err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatalf("get the address of a socket that is bound to %s: %v", host, err)
	}
	port := bound.(*syscall.SockaddrInet4).Port
	return &ReservedAddr{Address: net.JoinHostPort(host, strconv.Itoa(port)), file: file}
}

// Listen starts a listener on the address. The caller must close it.
func (a *ReservedAddr) Listen() (net.Listener, error) {
	if err := syscall.Listen(int(a.file.Fd()), syscall.SOMAXCONN); err != nil {
		return nil, fmt.Errorf("listen on %s: %w", a.Address, err)
	}
	return net.FileListener(a.file)
}
