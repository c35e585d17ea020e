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
	// shortageDuration is how long a process cannot open descriptors. It is shorter than classDeadline, so that the
	// requests can be served afterwards.
	shortageDuration = 300 * time.Millisecond
	// exhaustedDescriptorLimit is lower than the number of descriptors that every process under test has open. With
	// this limit a process can open no more descriptors.
	exhaustedDescriptorLimit = 3
)

// setDescriptorLimit sets the soft limit of descriptors (RLIMIT_NOFILE) of a process and returns the previous limit.
// The error is ESRCH if the process has exited.
func setDescriptorLimit(pid int, descriptors uint64) (uint64, error) {
	var limit unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &limit); err != nil {
		return 0, err
	}
	previous := limit.Cur
	limit.Cur = descriptors
	return previous, unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil)
}

// mustSetDescriptorLimit is like setDescriptorLimit, but fails the test on an error.
func mustSetDescriptorLimit(t *testing.T, pid int, descriptors uint64) uint64 {
	t.Helper()
	previous, err := setDescriptorLimit(pid, descriptors)
	if err != nil {
		t.Fatalf("set the descriptor limit to %d: %v", descriptors, err)
	}
	return previous
}

// While a process can open no descriptors, accept and socket fail. Requests on new and on existing connections must
// still be served after such a shortage, even if SIGTERM arrives during the shortage.
func TestRequestsSurviveADescriptorShortage(t *testing.T) {
	program := balancertest.Build(t)
	for name, signal := range map[string]unix.Signal{"serving": 0, "shutting down": unix.SIGTERM} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testDescriptorShortage(t, program, signal)
		})
	}
}

// testDescriptorShortage sets the descriptor limit of a process to exhaustedDescriptorLimit and sends a signal (0 for none)
// to the process and a request on a new connection. shortageDuration after the request was written, it restores the limit.
// The request must be served then, with the rest of its time, and another one on an existing connection.
func testDescriptorShortage(t *testing.T, program string, signal unix.Signal) {
	t.Helper()
	server := testkit.NewRecordingServer(t, testkit.OK)
	process := balancertest.Start(t, map[string]any{
		"discovery": refusingAddr, "settings": testkit.JSON(baseSettings), "known": snapshotOf(1, server.Address()),
	}, program)
	node := &nodeProcess{t: t, pid: process.PID, addr: testkit.Receive(t, process.Addr, "the process to serve")}
	balancertest.AwaitReady(t, node.addr)
	oldConn := node.dial()
	expectServed(t, node, oldConn)
	testkit.Receive(t, server.Requests, "the first request")

	previous := mustSetDescriptorLimit(t, process.PID, exhaustedDescriptorLimit)
	balancertest.Signal(t, process.PID, signal)
	newConn := node.dial()
	if err := writeRequest(newConn, "new", classDeadline); err != nil {
		t.Fatal(err)
	}
	written := time.Now() // the shortage counts from here, so that a pause of this test cannot shorten the request's wait
	timer := time.AfterFunc(shortageDuration, func() {
		if _, err := setDescriptorLimit(process.PID, previous); err != nil {
			t.Errorf("set the descriptor limit back to %d: %v", previous, err)
		}
	})
	defer timer.Stop()

	if body, err := readBody(newConn); body != "done" {
		t.Errorf("response on a new connection: got %q (error %v), want %q", body, err, "done")
	}
	timeoutMs, err := strconv.Atoi(testkit.Receive(t, server.Requests, "the next request").Header.Get("X-Timeout-Ms"))
	if limit := (classDeadline - shortageDuration).Milliseconds(); err != nil || int64(timeoutMs) > limit {
		t.Errorf("X-Timeout-Ms at the server: got %d (error %v), want %d at most", timeoutMs, err, limit)
	}
	if took := time.Since(written); took < shortageDuration {
		t.Errorf("time to the response on a new connection: got %v, want %v at least, the length of the shortage",
			took, shortageDuration)
	}
	expectServed(t, node, oldConn)
}

// expectServed sends a request on a connection and fails the test unless it is served.
func expectServed(t *testing.T, node *nodeProcess, conn net.Conn) {
	t.Helper()
	if body, err := node.request(conn); body != "done" {
		t.Errorf("response to request %d: got %q (error %v), want %q", node.requests, body, err, "done")
	}
}

// A process that can open no descriptors when SIGHUP arrives cannot read its configuration file. The new configuration
// must take effect once the process can open descriptors again.
func TestSIGHUPSurvivesADescriptorShortage(t *testing.T) {
	t.Parallel()
	calls := make(chan string, 1000)
	process := balancertest.Start(t, map[string]any{
		"discovery": startNamedDiscovery(t, "first", calls), "settings": testkit.JSON(baseSettings),
	}, balancertest.Build(t))
	if name := testkit.Receive(t, calls, "a call to a discovery service"); name != "first" {
		t.Fatalf("the node called the discovery service named %q, want %q", name, "first")
	}
	process.ConfigFile.Replace(t, configText(startNamedDiscovery(t, "second", calls)))
	previous := mustSetDescriptorLimit(t, process.PID, exhaustedDescriptorLimit)
	balancertest.Signal(t, process.PID, unix.SIGHUP)
	time.Sleep(shortageDuration / 3) // shorter than the time for which the node retries opening the file
	mustSetDescriptorLimit(t, process.PID, previous)
	for name := ""; name != "second"; {
		name = testkit.Receive(t, calls, "a call to the second discovery service")
	}
}
