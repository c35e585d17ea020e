package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"calicohinge/internal/balancertest"
	"calicohinge/internal/testkit"
)

// Guards against requests that are executed after their node has ended: the system would go on delivering what the node
// has written to a server that can be reached again later.
func TestUndeliveredRequestsEndWithTheProcess(t *testing.T) {
	program := balancertest.Build(t)
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(signal.String(), func(t *testing.T) {
			server := testkit.NewStalledServer(t)
			process := balancertest.Start(t, map[string]any{
				"discovery": refusingAddr, "known": snapshotOf(1, server.Address()),
				"settings": testkit.JSON(baseSettings),
			}, program)
			addr := testkit.Receive(t, process.Addr, "the process to serve")
			balancertest.AwaitReady(t, addr)
			client, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = client.Close() }() // the response does not matter
			if _, err := io.WriteString(client, largePost()); err != nil {
				t.Fatal(err)
			}
			conn := server.AwaitWritten(t)

			balancertest.Signal(t, process.PID, signal)

			_ = testkit.Receive(t, process.Exited, "the process to exit") // SIGKILL makes it an error
			if received := testkit.CountReceived(t, conn); received >= testkit.StalledBody {
				t.Errorf("bytes that reached the server after %v: got %d, want less than the body's %d",
					signal, received, testkit.StalledBody)
			}
		})
	}
}

// largePost returns a request with a body of which the most does not reach a testkit.StalledServer.
func largePost() string {
	return fmt.Sprintf("POST /pay HTTP/1.1\r\nHost: x\r\nX-Request-ID: large\r\nX-Timeout-Ms: 8000\r\n"+
		"Content-Length: %d\r\n\r\n%s", testkit.StalledBody, strings.Repeat("x", testkit.StalledBody))
}
