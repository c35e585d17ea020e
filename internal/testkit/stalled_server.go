package testkit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"calicohinge/internal/endpointjson"
)

const (
	// stalledReceiveBuffer and stalledSegment are the receive buffer and the segment size of a StalledServer, in bytes.
	stalledReceiveBuffer, stalledSegment = 4096, 536
	// StalledBody is the size of a request body, in bytes, of which most does not reach a StalledServer.
	StalledBody = 64 << 10
	// stalledBodyQueued is the part of a StalledBody, in bytes, that waits in the system of the sender.
	stalledBodyQueued = StalledBody - 4*stalledReceiveBuffer
)

// StalledServer accepts connections and reads nothing, as a server that has been partitioned from the network. Its
// system takes little, so that the rest of a large request waits in the system of the sender.
type StalledServer struct {
	listener net.Listener
	Conns    <-chan net.Conn // the accepted connections
}

// NewStalledServer starts a StalledServer. It stops at the end of the test.
func NewStalledServer(t *testing.T) *StalledServer {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) { optionErr = limitReceiving(int(fd)) })
		return errors.Join(err, optionErr)
	}}
	listener, err := config.Listen(t.Context(), "tcp", net.JoinHostPort(newLoopbackHost(), "0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // the listener is not used any more
	conns := make(chan net.Conn, 100)
	go serveUntilClosed(listener, func(conn net.Conn) { conns <- conn })
	return &StalledServer{listener: listener, Conns: conns}
}

// limitReceiving limits what the system receives for the connections of a listener before they are read.
func limitReceiving(fd int) error {
	return errors.Join(
		syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, stalledReceiveBuffer),
		syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, stalledSegment))
}

// Address returns the address of the server.
func (s *StalledServer) Address() string { return s.listener.Addr().String() }

// Endpoint returns an entry of an endpoint list for the server, which is ready.
func (s *StalledServer) Endpoint(id string) endpointjson.Endpoint {
	return readyEndpoint(id, s.Address())
}

// AwaitWritten waits until a sender has written a request with a StalledBody to the server, most of which waits in the
// sender's system. It returns the server's end of the connection.
func (s *StalledServer) AwaitWritten(t *testing.T) net.Conn {
	t.Helper()
	conn := Receive(t, s.Conns, "a connection to the stalled server")
	WaitUntil(t, "the request to be written", func() bool {
		return unacknowledgedBytes(t, conn.RemoteAddr(), conn.LocalAddr()) > stalledBodyQueued
	})
	return conn
}

// unacknowledgedBytes returns the number of bytes that a socket of this machine has sent or is about to send and that its
// peer has not acknowledged. The socket has the given local and remote addresses: connections to different addresses may
// have the same local one.
func unacknowledgedBytes(t *testing.T, local, remote net.Addr) int {
	t.Helper()
	const localField, remoteField, queueField = 1, 2, 4 // of a line of /proc/net/tcp
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = table.Close() }() // only read
	wantedLocal, wantedRemote := tableAddress(local.(*net.TCPAddr)), tableAddress(remote.(*net.TCPAddr))
	for lines := bufio.NewScanner(table); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) <= queueField || fields[localField] != wantedLocal || fields[remoteField] != wantedRemote {
			continue
		}
		bytes := 0
		if _, err := fmt.Sscanf(fields[queueField], "%X:", &bytes); err != nil {
			t.Fatalf("queue field %q of /proc/net/tcp: %v", fields[queueField], err)
		}
		return bytes
	}
	return 0
}

// tableAddress returns an IPv4 address in the form of /proc/net/tcp on a little-endian machine.
func tableAddress(address *net.TCPAddr) string {
	ip := address.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], address.Port)
}

// CountReceived reads all that still arrives on a connection to the server and returns the number of bytes. It returns
// when the connection ends.
func CountReceived(t *testing.T, conn net.Conn) int {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(WaitTimeout)); err != nil {
		t.Fatal(err)
	}
	received, err := io.Copy(io.Discard, conn)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("connection after %d bytes: still open after %v, want it ended", received, WaitTimeout)
	}
	return int(received)
}
