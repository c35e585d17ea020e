package testkit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// ScriptedServer is a server that responds to each request with the same bytes, which need not be valid HTTP.
type ScriptedServer struct {
	Address string
	Conns   chan net.Conn // the accepted connections
}

// Persistence specifies what a ScriptedServer does with a connection after a response.
type Persistence int

// The values of Persistence.
const (
	KeepAlive          Persistence = iota // the connection stays open for further requests
	CloseAfterResponse                    // the connection is closed
)

// NewScriptedServer starts a server that responds with the given bytes. It stops at the end of the test.
func NewScriptedServer(t *testing.T, response string, persistence Persistence) *ScriptedServer {
	t.Helper()
	listener := Listen(t)
	server := &ScriptedServer{Address: listener.Addr().String(), Conns: make(chan net.Conn, 100)}
	go serveUntilClosed(listener, func(conn net.Conn) {
		server.Conns <- conn
		defer func() { _ = conn.Close() }() // the client may have closed it first
		requests := bufio.NewReader(conn)
		for {
			if serveRequest(conn, requests, response) != nil || persistence == CloseAfterResponse {
				return
			}
		}
	})
	return server
}

// serveRequest reads one request with its body and writes the response.
func serveRequest(conn net.Conn, requests *bufio.Reader, response string) error {
	request, err := http.ReadRequest(requests)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return err
	}
	_, err = io.WriteString(conn, response)
	return err
}
