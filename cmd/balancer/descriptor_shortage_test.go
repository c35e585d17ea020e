package main

import (
	"net"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"calicohinge/internal/balancertest"
	"calicohinge/internal/testkit"
)

const (
	// shortageDuration is how long a process gets no descriptor. It is shorter than the requests' deadline.
	shortageDuration = 300 * time.Millisecond
	// exhaustedDescriptorLimit is fewer than any process has open.
	exhaustedDescriptorLimit = 3
)

// setDescriptorLimit sets how many descriptors a process may open and returns the previous limit. The error
// is ESRCH if the process has exited.
func setDescriptorLimit(pid int, descriptors uint64) (uint64, error) {
	var limit unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &limit); err != nil {
		return 0, err
	}
	previous := limit.Cur
	limit.Cur = descriptors
	return previous, unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil)
}

// mustSetDescriptorLimit is setDescriptorLimit for a process that must not have exited.
func mustSetDescriptorLimit(t *testing.T, pid int, descriptors uint64) uint64 {
	t.Helper()
	previous, err := setDescriptorLimit(pid, descriptors)
	if err != nil {
		t.Fatal(err)
	}
	return previous
}

// For a while a process gets no descriptors, so that accept and socket fail. Requests on new and on old
// connections are served all the same, also if the process gets SIGTERM during the shortage.
func TestRequestsSurviveADescriptorShortage(t *testing.T) {
	program := balancertest.Build(t)
	for name, signal := range map[string]unix.Signal{"serving": 0, "shutting down": unix.SIGTERM} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testDescriptorShortage(t, program, signal)
		})
	}
}

// testDescriptorShortage takes the descriptors of a process, sends it a signal (0 for none) and makes requests
// on a new connection and on an old one.
func testDescriptorShortage(t *testing.T, program string, signal unix.Signal) {
	t.Helper()
	server := testkit.NewBackend(t, testkit.OK)
	process := balancertest.Start(t, map[string]any{
		"discovery": refusingAddr, "settings": testkit.JSON(baseSettings), "known": snapshotOf(1, server.Address()),
	}, program)
	node := &nodeProcess{t: t, pid: process.PID, addr: testkit.Wait(t, process.Addr, "the process to serve")}
	balancertest.AwaitReady(t, node.addr)
	oldConn := node.dial()
	expectServed(t, node, oldConn)
	testkit.Wait(t, server.Requests, "the request before")

	previous := mustSetDescriptorLimit(t, process.PID, exhaustedDescriptorLimit)
	balancertest.Signal(t, process.PID, signal)
	began := time.Now()
	timer := time.AfterFunc(shortageDuration, func() {
		if _, err := setDescriptorLimit(process.PID, previous); err != nil {
			t.Error(err)
		}
	})
	defer timer.Stop()

	expectServed(t, node, node.dial())
	timeoutMs, err := strconv.Atoi(testkit.Wait(t, server.Requests, "the request").Header.Get("X-Timeout-Ms"))
	if limit := (classDeadline - shortageDuration).Milliseconds(); err != nil || int64(timeoutMs) > limit {
		t.Errorf("the server was given %d ms, %v; want %d at most", timeoutMs, err, limit)
	}
	if took := time.Since(began); took < shortageDuration {
		t.Errorf("a connection was accepted after %v: there was no shortage", took)
	}
	expectServed(t, node, oldConn)
}

// expectServed makes a request on a connection, which has to be served.
func expectServed(t *testing.T, node *nodeProcess, conn net.Conn) {
	t.Helper()
	if body, err := node.request(conn); body != "done" {
		t.Errorf("response %q, %v", body, err)
	}
}

// A new configuration takes effect although its file cannot be opened for a moment.
func TestSIGHUPSurvivesADescriptorShortage(t *testing.T) {
	t.Parallel()
	calls := make(chan string, 1000)
	process := balancertest.Start(t, map[string]any{
		"discovery": startNamedDiscovery(t, "first", calls), "settings": testkit.JSON(baseSettings),
	}, balancertest.Build(t))
	if name := testkit.Wait(t, calls, "a call"); name != "first" {
		t.Fatalf("%s is called", name)
	}
	process.ConfigFile.Replace(t, configText(startNamedDiscovery(t, "second", calls)))
	previous := mustSetDescriptorLimit(t, process.PID, exhaustedDescriptorLimit)
	balancertest.Signal(t, process.PID, unix.SIGHUP)
	time.Sleep(shortageDuration / 3) // the node tries to open the file for longer
	mustSetDescriptorLimit(t, process.PID, previous)
	for name := ""; name != "second"; {
		name = testkit.Wait(t, calls, "a call to the second one")
	}
}
