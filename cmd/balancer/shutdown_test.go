package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
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
	// shutdownDeadline is the longest request deadline of the processes under test. It
	// keeps a shutdown short: the process ends within half a second more.
	shutdownDeadline = 200 * time.Millisecond
	// earliestExit is how long after SIGTERM a process exits at the earliest under load: requests are served
	// until 0.3 s before the end of the grace period, which is the longest deadline and 0.45 s more. From
	// then on the process exits as soon as no connection is open.
	earliestExit = shutdownDeadline + 150*time.Millisecond
	// shutdownClients is how many clients send at the same time.
	shutdownClients = 24
)

// shutdownClient sends requests one after another until the process accepts no more
// connections. A request has to get a complete response if its connection was
// established, unless that had carried a request before and ends without a byte of a
// response: then it crossed the close of an idle connection and is sent once more.
type shutdownClient struct {
	addr string
	name string
	// keepAlive has the client reuse its connection for as long as it stays open.
	keepAlive bool
	conn      net.Conn
	reader    *bufio.Reader
	sent      int
}

// run sends until the process refuses a connection.
func (c *shutdownClient) run(signaled func() time.Duration) (result shutdownRun) {
	for {
		reused, err := c.connect()
		if err != nil {
			result.separateQueued()
			return result
		}
		c.sent++
		began := signaled()
		responded, err := c.roundTrip()
		switch {
		case err == nil:
			result.answered++
		case reused && !responded:
			continue // on a new connection
		default:
			result.lost = append(result.lost, &lostRequestError{
				client: c.name, number: c.sent, sentAt: began, reused: reused, responded: responded, err: err,
			})
		}
	}
}

// lostRequestError is a request without a complete response.
type lostRequestError struct {
	client    string
	number    int           // among the client's requests
	sentAt    time.Duration // after SIGTERM
	reused    bool          // its connection carried a request before
	responded bool          // a part of a response came
	err       error
}

func (e *lostRequestError) Error() string {
	return fmt.Sprintf("%s, request %d, sent %v after SIGTERM, reused %v: %v",
		e.client, e.number, e.sentAt.Round(time.Millisecond), e.reused, e.err)
}

func (e *lostRequestError) Unwrap() error { return e.err }

// connect opens a connection unless the client has one. An error means that the process
// does not listen any more.
func (c *shutdownClient) connect() (reused bool, err error) {
	if c.conn != nil {
		return true, nil
	}
	c.conn, err = net.Dial("tcp", c.addr)
	if err != nil {
		return false, err
	}
	c.reader = bufio.NewReader(c.conn)
	return false, c.conn.SetDeadline(time.Now().Add(testkit.WaitTimeout))
}

// roundTrip sends a request and reads its response. On an error it reports whether a
// byte of the response had come.
func (c *shutdownClient) roundTrip() (began bool, err error) {
	keep := false
	defer func() {
		if !keep {
			_ = c.conn.Close() // nothing is expected of it any more
			c.conn = nil
		}
	}()
	_, err = fmt.Fprintf(c.conn, "POST /pay HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s-%d\r\nX-Timeout-Ms: %d\r\n"+
		"Content-Length: 0\r\n\r\n", c.name, c.sent, shutdownDeadline.Milliseconds())
	if err != nil {
		return false, fmt.Errorf("write: %w", err)
	}
	if _, err = c.reader.Peek(1); err != nil {
		return false, fmt.Errorf("no response: %w", err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return true, fmt.Errorf("response: %w", err)
	}
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return true, fmt.Errorf("response body: %w", err)
	}
	keep = c.keepAlive && !response.Close
	return true, nil
}

// shutdownRun is one end of a process under load.
type shutdownRun struct {
	answered int
	lost     []*lostRequestError
	// resetInQueue counts the last requests of clients which found the listener closed right
	// after, and of which nothing but a reset came: their connections were established between
	// the process's last accept and its close of the listener.
	resetInQueue int
	exit         processExit
}

// processExit is how a process exited.
type processExit struct {
	err   error
	after time.Duration // since SIGTERM
}

// separateQueued counts the last lost request of a client that was refused next under
// resetInQueue, if it is one of these.
func (r *shutdownRun) separateQueued() {
	if len(r.lost) == 0 {
		return
	}
	last := r.lost[len(r.lost)-1]
	if !last.reused && !last.responded && errors.Is(last, syscall.ECONNRESET) {
		r.lost = r.lost[:len(r.lost)-1]
		r.resetInQueue++
	}
}

// add adds the result of another client.
func (r *shutdownRun) add(other shutdownRun) {
	r.answered += other.answered
	r.lost = append(r.lost, other.lost...)
	r.resetInQueue += other.resetInQueue
}

// endUnderLoad starts a process before a server that responds and one that does not,
// has clients send to it, and sends it SIGTERM. Then it calls disturb, which may stop
// and continue the process, and returns once no connection is accepted any more.
func endUnderLoad(t *testing.T, program string, disturb func(pid int)) shutdownRun {
	t.Helper()
	server := testkit.NewBackend(t, testkit.OK)
	hanging := testkit.NewBackend(t, testkit.Unresponsive(make(chan struct{}, 1)))
	started := balancertest.Start(t, map[string]any{
		"discovery": "127.0.0.1:1",
		"settings": testkit.JSON(strings.ReplaceAll(settings, "8000",
			fmt.Sprint(shutdownDeadline.Milliseconds()))),
		"known": listOf(1, server.Address(), server.Address(), server.Address(), hanging.Address()),
	}, program)
	addr := testkit.Wait(t, started.Addr, "the process to serve")
	balancertest.AwaitReady(t, addr)

	var signaledAt atomic.Pointer[time.Time]
	sinceSignal := func() time.Duration {
		if at := signaledAt.Load(); at != nil {
			return time.Since(*at)
		}
		return -1
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	var total shutdownRun
	for i := range shutdownClients {
		client := shutdownClient{addr: addr, name: fmt.Sprintf("c%d", i), keepAlive: i%2 == 0}
		clients.Go(func() {
			result := client.run(sinceSignal)
			mu.Lock()
			defer mu.Unlock()
			total.add(result)
		})
	}
	time.Sleep(shutdownDeadline) // the clients are on their way
	now := time.Now()
	signaledAt.Store(&now)
	balancertest.Signal(t, started.PID, syscall.SIGTERM)
	exits := make(chan processExit, 1)
	go func() {
		err := <-started.Exited
		exits <- processExit{err, sinceSignal()}
	}()
	disturb(started.PID)
	clients.Wait()
	total.exit = testkit.Wait(t, exits, "the exit of the process")
	return total
}

// report fails the test for each request that got no response, up to a few.
func (r shutdownRun) report(t *testing.T) {
	t.Helper()
	t.Logf("%d requests answered, %d lost, %d reset in the accept queue", r.answered, len(r.lost), r.resetInQueue)
	if limit := maxResetInQueue(t); r.resetInQueue > limit {
		t.Errorf("%d connections were reset in the accept queue, want %d at most", r.resetInQueue, limit)
	}
	const shown = 5
	for _, err := range r.lost[:min(shown, len(r.lost))] {
		t.Error(err)
	}
	if r.exit.err != nil || r.exit.after < earliestExit {
		t.Errorf("the process exited %v after SIGTERM with %v, want no error and %v at least", r.exit.after, r.exit.err, earliestExit)
	}
	if r.answered == 0 {
		t.Error("no request was answered")
	}
}

// maxResetInQueue returns how many connections may be reset in the accept queue: none where the
// system has socket filters, with which the process stops handshakes before its last accept.
// Without them no order of system calls excludes a connection between that accept and the close,
// and on a busy machine each client may meet that moment, once.
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
	t.Logf("no socket filters: %v", filterErr)
	return shutdownClients
}

// Clients send on connections old and new until the process accepts none. Each request
// whose connection was established gets a complete response.
func TestEveryRequestIsAnsweredUntilTheProcessEnds(t *testing.T) {
	endUnderLoad(t, balancertest.Build(t), func(int) {}).report(t)
}

// The same, with the process held up for 150 ms around each step of the end of its
// shutdown, as the operators' terms allow.
func TestEveryRequestIsAnsweredByAProcessThatIsHeldUp(t *testing.T) {
	const holdUp = 150 * time.Millisecond
	program := balancertest.Build(t)
	for _, after := range []time.Duration{300, 400, 500, 560, 600, 640, 680} {
		after *= time.Millisecond
		t.Run(fmt.Sprintf("%v after SIGTERM", after), func(t *testing.T) {
			t.Parallel()
			endUnderLoad(t, program, func(pid int) {
				time.Sleep(after)
				balancertest.Signal(t, pid, syscall.SIGSTOP)
				time.Sleep(holdUp)
				balancertest.Signal(t, pid, syscall.SIGCONT)
			}).report(t)
		})
	}
}

// The same, with a process that gets no descriptor for 100 ms, also as it accepts the last
// connections.
func TestEveryRequestIsAnsweredByAProcessShortOfDescriptors(t *testing.T) {
	const short = 100 * time.Millisecond
	program := balancertest.Build(t)
	for _, after := range []time.Duration{100, 300, 450, 520, 560, 590} {
		after *= time.Millisecond
		t.Run(fmt.Sprintf("%v after SIGTERM", after), func(t *testing.T) {
			t.Parallel()
			endUnderLoad(t, program, func(pid int) {
				time.Sleep(after)
				previous, err := setDescriptorLimit(pid, scarceDescriptors)
				if err == nil {
					time.Sleep(short)
					_, err = setDescriptorLimit(pid, previous)
				}
				switch {
				case errors.Is(err, unix.ESRCH): // whether it may have, report checks
					t.Log("the process has exited before it was short of descriptors, or meanwhile")
				case err != nil:
					t.Error(err)
				}
			}).report(t)
		})
	}
}
