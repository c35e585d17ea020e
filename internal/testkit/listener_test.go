package testkit

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"
)

func TestReservedAddrRefusesConnectionsUntilListen(t *testing.T) {
	reserved := ReserveAddr(t)
	if _, err := net.Dial("tcp", reserved.Address); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Fatalf("dial of %s before Listen returned error %v, want %v", reserved.Address, err, syscall.ECONNREFUSED)
	}
	listener, err := reserved.Listen()
	if err != nil {
		t.Fatalf("Listen on %s returned error %v, want a listener", reserved.Address, err)
	}
	defer func() { _ = listener.Close() }() // errors do not matter after the test
	conn, err := net.Dial("tcp", reserved.Address)
	if err != nil {
		t.Fatalf("dial of %s after Listen returned error %v, want a connection", reserved.Address, err)
	}
	_ = conn.Close() // no data was sent
}

func TestScriptedServerClosesConnectionsAtEndOfTest(t *testing.T) {
	var conn net.Conn
	t.Run("inner", func(t *testing.T) {
		server := NewScriptedServer(t, "", KeepAlive)
		var err error
		if conn, err = net.Dial("tcp", server.Address); err != nil {
			t.Fatalf("dial of the server returned error %v, want a connection", err)
		}
		Receive(t, server.Conns, "the server to accept the connection")
	})
	defer func() { _ = conn.Close() }() // the server has closed its side
	ended := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 1))
		ended <- err
	}()
	if err := Receive(t, ended, "the server to close the connection"); err == nil {
		t.Error("Read on the connection after the end of the server's test returned a byte, want an error")
	}
}

// A node may continue to call a fake discovery service or server that has stopped. If another test started a fake
// service at the same host, that test would take these calls for calls of its own node.
func TestHostsAreNotReused(t *testing.T) {
	seen := map[string]bool{}
	for range 10 {
		for _, address := range []string{
			NewScriptedDiscovery(t).Address, NewRecordingServer(t, OK).Address(), Listen(t).Addr().String(),
			NewFakeDiscovery(t).Address(), FreeAddr(t), ReserveAddr(t).Address,
			NewPartitionableService(t, func(*http.Request) Response {
				return Response{Status: http.StatusOK, Body: ""}
			}).Address,
		} {
			host, _, err := net.SplitHostPort(address)
			if err != nil {
				t.Fatalf("SplitHostPort(%q) returned error %v, want a host", address, err)
			}
			if seen[host] {
				t.Fatalf("host %s of address %s was used before, want a new host", host, address)
			}
			seen[host] = true
		}
	}
}
