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
		t.Fatalf("dial before Listen: %v, want a refused connection", err)
	}
	listener, err := reserved.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // the test is over
	conn, err := net.Dial("tcp", reserved.Address)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.Close() // nothing was written
}

func TestScriptedServerClosesConnectionsAtEndOfTest(t *testing.T) {
	var conn net.Conn
	t.Run("inner", func(t *testing.T) {
		server := NewScriptedServer(t, "", KeepAlive)
		var err error
		if conn, err = net.Dial("tcp", server.Address); err != nil {
			t.Fatal(err)
		}
		Wait(t, server.Conns, "the connection")
	})
	defer func() { _ = conn.Close() }() // the server has closed it
	ended := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 1))
		ended <- err
	}()
	if err := Wait(t, ended, "the end of the connection"); err == nil {
		t.Error("read a byte, want the end")
	}
}

// A node calls its discovery service, and sends to its servers, until it has ended; a stand-in may stop
// before. Its host must not be given to a stand-in of another test, which would take the calls for those of
// its own node.
func TestHostsAreNotReused(t *testing.T) {
	seen := map[string]bool{}
	for range 10 {
		for _, address := range []string{
			NewScriptedDiscovery(t).Address, NewBackend(t, OK).Address(), Listen(t).Addr().String(),
			NewRegistry(t).Address(), FreeAddr(t), ReserveAddr(t).Address,
			NewMachine(t, func(*http.Request) Response { return Response{Status: http.StatusOK, Body: ""} }).Address,
		} {
			host, _, err := net.SplitHostPort(address)
			if err != nil {
				t.Fatal(err)
			}
			if seen[host] {
				t.Fatalf("%s is given out again", host)
			}
			seen[host] = true
		}
	}
}
