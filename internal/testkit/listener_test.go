package testkit

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

func TestReservedAddrRefusesUntilListen(t *testing.T) {
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

func TestScriptedServerClosesItsConnectionsWithTheTest(t *testing.T) {
	var conn net.Conn
	t.Run("inner", func(t *testing.T) {
		server := NewScriptedServer(t, "", false)
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
