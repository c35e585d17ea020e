package main

import (
	"errors"
	"fmt"
	"math"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"calicohinge/internal/balancertest"
	"calicohinge/internal/testkit"
)

const (
	// shutdownClassDeadline is the longest class deadline of the processes under test. It is short to keep their
	// shutdown short: the grace period is only 450 ms longer.
	shutdownClassDeadline = 200 * time.Millisecond
	// earliestExit is the minimum time between SIGTERM and the exit of a process under load. The grace period is
	// shutdownClassDeadline plus 450 ms. The process serves as usual until 300 ms before the end of the grace period.
	// From then on it exits as soon as no connection is open.
	earliestExit = shutdownClassDeadline + 150*time.Millisecond
	// shutdownClients is the number of clients that send requests concurrently.
	shutdownClients = 24
)

// shutdownResult is the result of the shutdown of a process under load.
type shutdownResult struct {
	loadResult
	exit processExit
}

// processExit describes how and when a process exited.
type processExit struct {
	err   error
	after time.Duration // time since SIGTERM
}

// shutDownUnderLoad starts a process and clients that send requests to it, and sends SIGTERM to the process. Then it
// calls injectFault, which may pause the process or exhaust its descriptors. It returns when the process has exited and
// the connections of all clients are refused.
func shutDownUnderLoad(t *testing.T, program string, injectFault func(pid int)) shutdownResult {
	t.Helper()
	process, addr := startShutdownProcess(t, program)
	var signaledAt atomic.Pointer[time.Time]
	sinceSignal := func() time.Duration {
		if at := signaledAt.Load(); at != nil {
			return time.Since(*at)
		}
		return -1
	}
	results := startShutdownClients(addr, sinceSignal)
	time.Sleep(shutdownClassDeadline) // by then the clients send at their full rate
	now := time.Now()
	signaledAt.Store(&now)
	balancertest.Signal(t, process.PID, syscall.SIGTERM)
	exits := make(chan processExit, 1)
	go func() {
		err := <-process.Exited
		exits <- processExit{err, sinceSignal()}
	}()
	injectFault(process.PID)
	return shutdownResult{results(), testkit.Receive(t, exits, "the exit of the process")}
}

// startShutdownProcess starts a process and returns it with the address at which it serves. Its endpoint list has three
// entries for a server that responds and one for an unresponsive server.
func startShutdownProcess(t *testing.T, program string) (balancertest.Process, string) {
	t.Helper()
	server := testkit.NewRecordingServer(t, testkit.OK)
	unresponsive := testkit.NewRecordingServer(t, testkit.Unresponsive(make(chan struct{}, 1)))
	process := balancertest.Start(t, map[string]any{
		"discovery": refusingAddr,
		"settings": testkit.JSON(strings.ReplaceAll(baseSettings, "8000",
			fmt.Sprint(shutdownClassDeadline.Milliseconds()))),
		"known": snapshotOf(1, server.Address(), server.Address(), server.Address(), unresponsive.Address()),
	}, program)
	addr := testkit.Receive(t, process.Addr, "the process to serve")
	balancertest.AwaitReady(t, addr)
	return process, addr
}

// startShutdownClients starts clients that send requests until their connections are refused. Half of them reuse their
// connections. The returned function waits for the clients and returns the sum of their results.
func startShutdownClients(addr string, sinceSignal func() time.Duration) func() loadResult {
	results := make(chan loadResult, shutdownClients)
	var clients sync.WaitGroup
	for i := range shutdownClients {
		client := loadClient{
			addr: addr, name: fmt.Sprintf("c%d", i), timeout: shutdownClassDeadline, keepAlive: i%2 == 0,
		}
		clients.Go(func() { results <- client.sendUntilRefused(sinceSignal) })
	}
	return func() loadResult {
		clients.Wait()
		close(results)
		var total loadResult
		for result := range results {
			total.add(result)
		}
		return total
	}
}

// check fails the test if a request was lost, too many connections were reset in the accept queue, no request got a
// response, or the process exited too early or with an error. It shows only the first few lost requests.
func (r shutdownResult) check(t *testing.T) {
	t.Helper()
	t.Logf("%d responses, %d requests lost, %d connections reset in the accept queue, %d unused connections closed",
		r.responses, len(r.lost), r.resetInQueue, r.unusedConnsClosed)
	if limit := maxResetInQueue(t); r.resetInQueue > limit {
		t.Errorf("connections reset in the accept queue: got %d, want %d at most", r.resetInQueue, limit)
	}
	const shown = 5
	for _, err := range r.lost[:min(shown, len(r.lost))] {
		t.Error(err)
	}
	if r.exit.err != nil || r.exit.after < earliestExit {
		t.Errorf("exit of the process after SIGTERM: got error %v after %v, want no error after %v at least",
			r.exit.err, r.exit.after, earliestExit)
	}
	if r.responses == 0 {
		t.Error("responses to all clients: got 0, want 1 at least")
	}
}

// maxResetInQueue returns how many connections may be reset in the accept queue. The number is 0 if the system supports
// socket filters: the process uses a filter to refuse handshakes before its last accept. Without a filter, a connection
// can be established between the last accept and the close of the listener, whatever the order of system calls. On a
// busy machine this may happen to each client once.
func maxResetInQueue(t *testing.T) int {
	t.Helper()
	raw, err := testkit.Listen(t).(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var filterErr error
	if err := raw.Control(func(fd uintptr) {
		accept := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: math.MaxUint32}
		program := unix.SockFprog{Len: 1, Filter: &accept}
		filterErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	}); err != nil {
		t.Fatal(err)
	}
	if filterErr == nil {
		return 0
	}
	t.Logf("the system does not support socket filters: %v", filterErr)
	return shutdownClients
}

// Until the process refuses connections, each request on an established connection must get a complete response,
// whether the connection is new or reused. The comment of loadClient lists the exceptions.
func TestEveryRequestGetsAResponseUntilTheProcessExits(t *testing.T) {
	shutDownUnderLoad(t, balancertest.Build(t), func(int) {}).check(t)
}

// A pause of the process must not lose requests at any step of the shutdown. Each pause lasts 150 ms, the longest time
// that the operators' contract allows.
func TestEveryRequestGetsAResponseFromAPausedProcess(t *testing.T) {
	const pause = 150 * time.Millisecond
	program := balancertest.Build(t)
	for _, afterMs := range []int{300, 400, 500, 560, 600, 640, 680} {
		after := time.Duration(afterMs) * time.Millisecond
		t.Run(fmt.Sprintf("%v after SIGTERM", after), func(t *testing.T) {
			t.Parallel()
			shutDownUnderLoad(t, program, func(pid int) {
				time.Sleep(after)
				balancertest.Signal(t, pid, syscall.SIGSTOP)
				time.Sleep(pause)
				balancertest.Signal(t, pid, syscall.SIGCONT)
			}).check(t)
		})
	}
}

// A descriptor shortage must not lose requests at any step of the shutdown. One of the shortages falls on the last
// accept.
func TestEveryRequestGetsAResponseDuringADescriptorShortage(t *testing.T) {
	const shortage = 100 * time.Millisecond
	program := balancertest.Build(t)
	for _, afterMs := range []int{100, 300, 450, 520, 560, 590} {
		after := time.Duration(afterMs) * time.Millisecond
		t.Run(fmt.Sprintf("%v after SIGTERM", after), func(t *testing.T) {
			t.Parallel()
			shutDownUnderLoad(t, program, func(pid int) {
				time.Sleep(after)
				exhaustDescriptors(t, pid, shortage)
			}).check(t)
		})
	}
}

// exhaustDescriptors prevents a process from opening descriptors for a time. The process may exit during the shortage;
// shutdownResult.check reports an exit that is too early.
func exhaustDescriptors(t *testing.T, pid int, duration time.Duration) {
	t.Helper()
	previous, err := setDescriptorLimit(pid, exhaustedDescriptorLimit)
	if err == nil {
		time.Sleep(duration)
		_, err = setDescriptorLimit(pid, previous)
	}
	switch {
	case errors.Is(err, unix.ESRCH):
		t.Log("the process exited before or during the descriptor shortage")
	case err != nil:
		t.Errorf("set or restore the descriptor limit: %v", err)
	}
}
