package main

import (
	"bufio"
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
	"calicohinge/policy"
)

// nodeUnderFlood is a process with few descriptors and the clients that it has.
type nodeUnderFlood struct {
	t        *testing.T
	pid      int
	addr     string
	limit    int // descriptors that the system grants
	peak     int // descriptors that were open at most
	requests int
}

// dial opens a client connection that lasts to the end of the test.
func (n *nodeUnderFlood) dial() net.Conn {
	n.t.Helper()
	conn, err := net.Dial("tcp", n.addr)
	if err != nil {
		n.t.Fatal(err)
	}
	closeAtEnd(n.t, conn)
	return conn
}

// request makes a request on a connection and returns the body of its answer.
func (n *nodeUnderFlood) request(conn net.Conn) (string, error) {
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil { // over the class's deadline
		return "", err
	}
	n.requests++
	if _, err := fmt.Fprintf(conn, "POST /pay HTTP/1.1\r\nHost: x\r\nX-Request-ID: a%d\r\n"+
		"X-Timeout-Ms: 8000\r\nContent-Length: 0\r\n\r\n", n.requests); err != nil {
		return "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// requestOnce makes a request on a connection of its own and returns the body of its answer,
// or the error.
func (n *nodeUnderFlood) requestOnce() string {
	n.t.Helper()
	conn := n.dial()
	defer func() { _ = conn.Close() }() // its answer has been read
	body, err := n.request(conn)
	n.countDescriptors()
	if err != nil {
		return err.Error()
	}
	return body
}

// countDescriptors takes the open descriptors into the peak.
func (n *nodeUnderFlood) countDescriptors() {
	n.t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.pid))
	if err != nil {
		n.t.Error(err)
	}
	n.peak = max(n.peak, len(slices.DeleteFunc(open, n.inherited)))
}

// inherited reports whether a descriptor comes from whoever runs the tests.
func (n *nodeUnderFlood) inherited(entry os.DirEntry) bool {
	fd, err := strconv.Atoi(entry.Name())
	return err != nil || fd >= n.limit
}

// flood opens connections that stay idle; every other one makes a request first, which may fail.
func (n *nodeUnderFlood) flood(connections int) {
	n.t.Helper()
	for i := range connections {
		conn := n.dial()
		if i%2 == 0 {
			_, _ = n.request(conn) // its server may not be reached; the place is taken all the same
		}
		n.countDescriptors()
	}
}

// awaitNewServers makes requests until the list of the discovery that is back is in force,
// in time, and then some more.
func (n *nodeUnderFlood) awaitNewServers() {
	n.t.Helper()
	returned := time.Now()
	for body := n.requestOnce(); body != "new"; body = n.requestOnce() {
		if time.Since(returned) > policy.NotificationDeadline {
			n.t.Fatalf("discovery is not followed: %q", body)
		}
	}
	for range 20 {
		if body := n.requestOnce(); body != "new" {
			n.t.Fatalf("answered %q", body)
		}
	}
}

// A process has as many descriptors as its configuration says, or is granted fewer, and idle
// clients take what they can get while discovery is down: it stays within them, follows
// discovery once that is back, and serves whoever makes a request.
func TestIdleClientsLeaveDescriptorsFree(t *testing.T) {
	program := balancertest.Build(t)
	for _, c := range []struct {
		name           string
		sockets, limit int
		refuses        bool
	}{
		{"the smallest limits, 503", 64, 64, false},
		{"the smallest limits, refused", 64, 64, true},
		{"256, refused", 256, 256, true},
		{"fewer granted than configured", 256, 64, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			back := make(chan struct{})
			node := startUnderFlood(t, program, outage{back, c.refuses}, c.sockets, c.limit)
			node.flood(2 * c.sockets)
			close(back)
			node.awaitNewServers()
			t.Logf("%d descriptors at the peak", node.peak)
			if node.peak >= c.limit {
				t.Errorf("%d descriptors at the peak: none is left", node.peak)
			}
		})
	}
}

// startUnderFlood starts a process that knows old servers; discovery tells of new ones once it is
// back. There are more servers than it has connections for.
func startUnderFlood(t *testing.T, program string, outage outage, sockets, limit int) *nodeUnderFlood {
	t.Helper()
	const servers = 40
	named := func(name string) []string {
		addr := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, name) // the node may have given up
		})
		return slices.Repeat([]string{addr}, servers)
	}
	started := balancertest.Start(t, map[string]any{
		"discovery": startDiscovery(t, listOf(2, named("new")...), outage, 0),
		"known":     listOf(1, named("old")...),
		"limits":    map[string]any{"sockets": sockets},
		"settings":  moreSettings(`"Limits": {"MaxAttempts": 3}`),
	}, "sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", limit, program))
	node := &nodeUnderFlood{t: t, pid: started.PID, addr: <-started.Addr, limit: limit}
	balancertest.AwaitReady(t, node.addr)
	return node
}
