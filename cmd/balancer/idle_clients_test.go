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

// nodeProcess is a process with few descriptors, and the connections of its clients.
type nodeProcess struct {
	t               *testing.T
	pid             int
	addr            string
	descriptorLimit int // descriptors that the system grants
	peakDescriptors int // highest number of open descriptors
	requests        int // made so far
}

// dial opens a client connection that lasts to the end of the test.
func (n *nodeProcess) dial() net.Conn {
	n.t.Helper()
	conn, err := net.Dial("tcp", n.addr)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { _ = conn.Close() }) // nobody uses it any more
	return conn
}

// request makes a request on a connection and returns the body of its response.
func (n *nodeProcess) request(conn net.Conn) (string, error) {
	n.requests++
	return postOn(conn, fmt.Sprintf("a%d", n.requests))
}

// requestOnce makes a request on a connection of its own and returns the body of its response, or the
// error.
func (n *nodeProcess) requestOnce() string {
	n.t.Helper()
	conn := n.dial()
	defer func() { _ = conn.Close() }() // its response has been read
	body, err := n.request(conn)
	n.countDescriptors()
	if err != nil {
		return err.Error()
	}
	return body
}

// countDescriptors counts the open descriptors and updates the peak.
func (n *nodeProcess) countDescriptors() {
	n.t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.pid))
	if err != nil {
		n.t.Error(err)
	}
	n.peakDescriptors = max(n.peakDescriptors, len(slices.DeleteFunc(open, n.isInherited)))
}

// isInherited reports whether the process has a descriptor from the one that runs the tests.
func (n *nodeProcess) isInherited(entry os.DirEntry) bool {
	fd, err := strconv.Atoi(entry.Name())
	return err != nil || fd >= n.descriptorLimit
}

// openIdleConnections opens connections that stay idle; every other one makes a request first, which may
// fail.
func (n *nodeProcess) openIdleConnections(connections int) {
	n.t.Helper()
	for i := range connections {
		conn := n.dial()
		if i%2 == 0 {
			_, _ = n.request(conn) // the connection stays open even if the request fails
		}
		n.countDescriptors()
	}
}

// awaitNewList makes requests until the node uses the list that discovery serves after its outage. That has
// to be within the notification deadline. Some further requests have to be served by that list too.
func (n *nodeProcess) awaitNewList() {
	n.t.Helper()
	const furtherRequests = 20
	outageEnded := time.Now()
	for body := n.requestOnce(); body != "new"; body = n.requestOnce() {
		if time.Since(outageEnded) > policy.NotificationDeadline {
			n.t.Fatalf("discovery is not followed: %q", body)
		}
	}
	for range furtherRequests {
		if body := n.requestOnce(); body != "new" {
			n.t.Fatalf("response %q", body)
		}
	}
}

// During an outage of discovery idle clients open more connections than a process may have. The process keeps
// descriptors free, within its configuration and the system's limit. After the outage it follows discovery
// and serves requests.
func TestIdleClientsDoNotExhaustDescriptors(t *testing.T) {
	program := balancertest.Build(t)
	for _, c := range []struct {
		name                     string
		sockets, descriptorLimit int
		outage                   outageKind
	}{
		{"the smallest limits, 503", 64, 64, outageUnavailable},
		{"the smallest limits, refused", 64, 64, outageRefused},
		{"256, refused", 256, 256, outageRefused},
		{"fewer granted than configured", 256, 64, outageRefused},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			outage, endOutage := newOutage(c.outage)
			node := startLimitedNode(t, program, outage, c.sockets, c.descriptorLimit)
			node.openIdleConnections(2 * c.sockets)
			endOutage()
			node.awaitNewList()
			t.Logf("%d descriptors at the peak", node.peakDescriptors)
			if node.peakDescriptors >= c.descriptorLimit {
				t.Errorf("%d descriptors at the peak: none is left", node.peakDescriptors)
			}
		})
	}
}

// startLimitedNode starts a process that knows old servers; discovery lists new ones after its outage.
// There are more servers than the process has connections for.
func startLimitedNode(t *testing.T, program string, outage outage, sockets, descriptorLimit int) *nodeProcess {
	t.Helper()
	const servers = 40
	startNamedServers := func(name string) []string {
		addr := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, name) // the node may have given up
		})
		return slices.Repeat([]string{addr}, servers)
	}
	process := balancertest.Start(t, map[string]any{
		"discovery": startDiscoveryStub(t, snapshotOf(2, startNamedServers("new")...), outage, 0),
		"known":     snapshotOf(1, startNamedServers("old")...),
		"limits":    map[string]any{"sockets": sockets},
		"settings":  settingsWith(`"Limits": {"MaxAttempts": 3}`),
	}, "sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", descriptorLimit, program))
	addr := testkit.Wait(t, process.Addr, "the process to serve")
	balancertest.AwaitReady(t, addr)
	return &nodeProcess{t: t, pid: process.PID, addr: addr, descriptorLimit: descriptorLimit}
}
