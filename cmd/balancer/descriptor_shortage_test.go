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
	// shortage is how long a process gets no descriptor. It is shorter than the deadline of
	// the requests that come meanwhile.
	shortage = 300 * time.Millisecond
	// scarceDescriptors is fewer than any process has open.
	scarceDescriptors = 3
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

// limitDescriptors is setDescriptorLimit for a process that runs.
func limitDescriptors(t *testing.T, pid int, descriptors uint64) uint64 {
	t.Helper()
	previous, err := setDescriptorLimit(pid, descriptors)
	if err != nil {
		t.Fatal(err)
	}
	return previous
}

// For a while accept and socket fail in a process, as they do where a system has no
// descriptors left. Clients that connect meanwhile are served, on old connections too, and
// the process goes on; also if it is told to end just then.
func TestRequestsOutlastAShortageOfDescriptors(t *testing.T) {
	program := balancertest.Build(t)
	for name, signal := range map[string]unix.Signal{"serving": 0, "shutting down": unix.SIGTERM} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testShortageOfDescriptors(t, program, signal)
		})
	}
}

// testShortageOfDescriptors takes the descriptors of a process, sends it a signal, of which 0
// does nothing, and makes requests on a connection old and new.
func testShortageOfDescriptors(t *testing.T, program string, signal unix.Signal) {
	t.Helper()
	server := testkit.NewBackend(t, testkit.OK)
	started := balancertest.Start(t, map[string]any{
		"discovery": "127.0.0.1:1", "settings": testkit.JSON(settings), "known": listOf(1, server.Address()),
	}, program)
	client := &nodeUnderFlood{t: t, pid: started.PID, addr: testkit.Wait(t, started.Addr, "the process")}
	balancertest.AwaitReady(t, client.addr)
	old := client.dial()
	if body, err := client.request(old); body != "done" {
		t.Fatalf("answered %q, %v", body, err)
	}
	testkit.Wait(t, server.Requests, "the request before")
	former := limitDescriptors(t, started.PID, scarceDescriptors)
	balancertest.Signal(t, started.PID, signal)
	began := time.Now()
	timer := time.AfterFunc(shortage, func() {
		if _, err := setDescriptorLimit(started.PID, former); err != nil {
			t.Error(err)
		}
	})
	defer timer.Stop()
	for i, conn := range []net.Conn{client.dial(), old} {
		if body, err := client.request(conn); body != "done" {
			t.Errorf("connection %d: answered %q, %v", i, body, err)
		}
		told, err := strconv.Atoi(testkit.Wait(t, server.Requests, "the request").Header.Get("X-Timeout-Ms"))
		if limit := 8000 - shortage.Milliseconds(); i == 0 && (err != nil || int64(told) > limit) {
			t.Errorf("the server was told %d ms, %v; want %d at most", told, err, limit)
		}
		if took := time.Since(began); i == 0 && took < shortage {
			t.Errorf("a connection was accepted after %v: there was no shortage", took)
		}
	}
}

// A new configuration that cannot be opened for a moment takes effect all the same.
func TestSIGHUPOutlastsAShortageOfDescriptors(t *testing.T) {
	t.Parallel()
	calls := make(chan string, 1000)
	started := balancertest.Start(t, map[string]any{
		"discovery": namedDiscovery(t, "first", calls), "settings": testkit.JSON(settings),
	}, balancertest.Build(t))
	if name := testkit.Wait(t, calls, "a call"); name != "first" {
		t.Fatalf("%s is called", name)
	}
	started.ConfigFile.Replace(t, configText(namedDiscovery(t, "second", calls)))
	former := limitDescriptors(t, started.PID, scarceDescriptors)
	balancertest.Signal(t, started.PID, unix.SIGHUP)
	time.Sleep(shortage / 3) // shorter than the file is tried
	limitDescriptors(t, started.PID, former)
	for name := ""; name != "second"; {
		name = testkit.Wait(t, calls, "a call to the second one")
	}
}
