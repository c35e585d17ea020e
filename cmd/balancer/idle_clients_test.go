package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"calicohinge/internal/balancertest"
	"calicohinge/internal/testkit"
	"calicohinge/policy"
)

// nodeProcess is a node that runs as a process. Its methods connect to the node, send requests to it, and count the
// descriptors that the process has open.
type nodeProcess struct {
	t               *testing.T
	pid             int
	addr            string
	descriptorLimit int // the process's RLIMIT_NOFILE, if the test counts descriptors
	peakDescriptors int // highest number of open descriptors seen so far
	requests        int // number of requests sent
}

// dial opens a client connection, which stays open until the end of the test unless the caller closes it.
func (n *nodeProcess) dial() net.Conn {
	n.t.Helper()
	conn, err := net.Dial("tcp", n.addr)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { _ = conn.Close() }) // the caller may have closed the connection already
	return conn
}

// request sends a request on a connection and returns the body of its response.
func (n *nodeProcess) request(conn net.Conn) (string, error) {
	n.requests++
	return postOn(conn, fmt.Sprintf("a%d", n.requests))
}

// requestOnce sends a request on a new connection and returns the body of its response, or the text of the error.
func (n *nodeProcess) requestOnce() string {
	n.t.Helper()
	conn := n.dial()
	defer func() { _ = conn.Close() }() // the response has been read
	body, err := n.request(conn)
	n.countDescriptors()
	if err != nil {
		return err.Error()
	}
	return body
}

// countDescriptors updates peakDescriptors with the number of descriptors that the process has open now.
func (n *nodeProcess) countDescriptors() {
	n.t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.pid))
	if err != nil {
		n.t.Error(err)
	}
	n.peakDescriptors = max(n.peakDescriptors, len(slices.DeleteFunc(open, n.isInherited)))
}

// isInherited reports whether the process has inherited a descriptor from the test process. The process itself cannot
// open a descriptor with a number of descriptorLimit or more, so that such a descriptor is inherited.
func (n *nodeProcess) isInherited(entry os.DirEntry) bool {
	fd, err := strconv.Atoi(entry.Name())
	return err != nil || fd >= n.descriptorLimit
}

// openIdleConnections opens connections that stay idle. Every second connection first carries a request.
func (n *nodeProcess) openIdleConnections(connections int) {
	n.t.Helper()
	for i := range connections {
		conn := n.dial()
		if i%2 == 0 {
			_, _ = n.request(conn) // the request may fail during the outage; the connection stays open
		}
		n.countDescriptors()
	}
}

// awaitNewList is called when the outage of discovery ends. It sends requests until a server of the new list responds,
// which must happen within the notification deadline. From then on, only servers of the new list may respond.
func (n *nodeProcess) awaitNewList() {
	n.t.Helper()
	const furtherRequests = 20
	outageEnded := time.Now()
	for body := n.requestOnce(); body != "new"; body = n.requestOnce() {
		if time.Since(outageEnded) > policy.NotificationDeadline {
			n.t.Fatalf("response %v after the outage: got %q, want %q from a server of the new list",
				time.Since(outageEnded), body, "new")
		}
	}
	for range furtherRequests {
		if body := n.requestOnce(); body != "new" {
			n.t.Fatalf("response with the new list in use: got %q, want %q", body, "new")
		}
	}
}

// If idle clients took up all descriptors of a process, it could call neither discovery nor its servers. The process
// must keep descriptors free within both the configured limit and the system's limit, so that it uses the new list and
// serves requests after an outage of discovery.
func TestIdleClientsDoNotExhaustDescriptors(t *testing.T) {
	program := balancertest.Build(t)
	for _, c := range []struct {
		name                     string
		sockets, descriptorLimit int
		outage                   outageKind
	}{
		{"smallest limits, discovery unavailable", 64, 64, outageUnavailable},
		{"smallest limits, discovery refuses", 64, 64, outageRefused},
		{"larger limits, discovery refuses", 256, 256, outageRefused},
		{"system limit below the configured one, discovery refuses", 256, 64, outageRefused},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			outage, endOutage := newOutage(c.outage)
			node := startLimitedNode(t, program, outage, c.sockets, c.descriptorLimit)
			node.openIdleConnections(2 * c.sockets)
			endOutage()
			node.awaitNewList()
			t.Logf("at most %d descriptors were open", node.peakDescriptors)
			if node.peakDescriptors >= c.descriptorLimit {
				t.Errorf("peak number of open descriptors: got %d, want fewer than the limit of %d",
					node.peakDescriptors, c.descriptorLimit)
			}
		})
	}
}

// startLimitedNode starts a process with a configured limit of sockets and a system limit of descriptors. Its cached
// endpoint list has only the server "old"; after its outage, discovery serves a list with only the server "new". Each
// list has 40 entries, more than the connections to servers that a process with the smallest limits may open.
func startLimitedNode(t *testing.T, program string, outage outage, sockets, descriptorLimit int) *nodeProcess {
	t.Helper()
	const servers = 40
	startNamedServers := func(name string) []string {
		addr := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, name) // the node may have disconnected
		})
		return slices.Repeat([]string{addr}, servers)
	}
	process := balancertest.Start(t, map[string]any{
		"discovery": startDiscoveryStub(t, snapshotOf(2, startNamedServers("new")...), outage, 0),
		"known":     snapshotOf(1, startNamedServers("old")...),
		"limits":    map[string]any{"sockets": sockets},
		"settings":  settingsWith(`"Limits": {"MaxAttempts": 3}`),
	}, "sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", descriptorLimit, program))
	addr := testkit.Receive(t, process.Addr, "the process to serve")
	balancertest.AwaitReady(t, addr)
	return &nodeProcess{t: t, pid: process.PID, addr: addr, descriptorLimit: descriptorLimit}
}
