package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"calicohinge/internal/testkit"
	"calicohinge/policy"
)

// failingDials returns a dial function whose first calls fail with an error of the system,
// and a counter of its calls.
func failingDials(failures int, callName string, errno syscall.Errno) (dial dialFunc, calls *int) {
	var dialer net.Dialer
	calls = new(int)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if *calls++; *calls <= failures {
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError(callName, errno)}
		}
		return dialer.DialContext(ctx, network, address)
	}, calls
}

// The system may refuse a socket or a connection for a moment: the attempt is made all the
// same. If it goes on, the attempt was not sent, and no server is at fault but one that
// cannot be reached.
func TestDialIsRepeatedAfterMomentaryFailure(t *testing.T) {
	backend := testkit.NewBackend(t, testkit.OK)
	for _, c := range []struct {
		callName string
		errno    syscall.Errno
		lasting  policy.Status
	}{
		{"socket", syscall.EMFILE, policy.NotSent},
		{"socket", syscall.ENFILE, policy.NotSent},
		{"socket", syscall.ENOBUFS, policy.NotSent},
		{"socket", syscall.ENOMEM, policy.NotSent},
		{"connect", syscall.EADDRNOTAVAIL, policy.NotSent},
		{"connect", syscall.EAGAIN, policy.NotSent},
		{"connect", syscall.ENETDOWN, policy.NotSent},
		{"connect", syscall.ENETUNREACH, policy.ConnectFailed},
		{"connect", syscall.EHOSTUNREACH, policy.ConnectFailed},
	} {
		t.Run(fmt.Sprintf("%s %v", c.callName, c.errno), func(t *testing.T) {
			pool, id := poolTo(poolConfig(), backend.Address())
			pool.dial, _ = failingDials(maxDials-1, c.callName, c.errno)
			expectStatus(t, pool, id, policy.OK)

			pool, id = poolTo(poolConfig(), backend.Address())
			pool.dial, _ = failingDials(maxDials, c.callName, c.errno)
			expectStatus(t, pool, id, c.lasting)
			expectOpen(t, pool, 0)
		})
	}
}

// A server that refuses connections is not dialed again by the same attempt.
func TestRefusedDialIsNotRepeated(t *testing.T) {
	pool, id := poolTo(poolConfig(), testkit.FreeAddr(t))
	var calls *int
	pool.dial, calls = failingDials(maxDials, "connect", syscall.ECONNREFUSED)
	expectStatus(t, pool, id, policy.ConnectFailed)
	if *calls != 1 {
		t.Errorf("dialed %d times", *calls)
	}
}

// The server is told how long the client still waits as the request is written, after the
// time that its connection took.
func TestTimeForTheConnectionIsTakenFromTheTimeout(t *testing.T) {
	const timeout, connecting = 10 * time.Second, 300 * time.Millisecond
	backend := testkit.NewBackend(t, testkit.OK)
	pool, id := poolTo(poolConfig(), backend.Address())
	var dialer net.Dialer
	pool.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		pause(ctx, connecting)
		return dialer.DialContext(ctx, network, address)
	}
	result := pool.Send(NewCall(t.Context(), connected), id, anyRequest(), time.Now().Add(timeout))
	if result.Status != policy.OK {
		t.Fatalf("status %v", result.Status)
	}
	received := testkit.Wait(t, backend.Requests, "the request")
	told, err := strconv.Atoi(received.Header.Get(timeoutHeader))
	if err != nil || told <= 0 || time.Duration(told)*time.Millisecond > timeout-connecting {
		t.Errorf("the server was told %d ms, %v; want %v at most", told, err, timeout-connecting)
	}
}

// Nothing is written for a client whose time is over as the connection comes up.
func TestRequestIsNotWrittenAfterTheDeadline(t *testing.T) {
	backend := testkit.NewBackend(t, testkit.OK)
	pool, id := poolTo(poolConfig(), backend.Address())
	call := NewCall(t.Context(), connected)
	result := pool.Send(call, id, anyRequest(), time.Now())
	if result.Status != policy.NotSent || call.Started() || len(backend.Requests) > 0 {
		t.Errorf("status %v, started %v, %d requests received", result.Status, call.Started(), len(backend.Requests))
	}
}

// The client is asked after the last reading of the clock. A node may be held up between that
// and a write, for longer than an attempt may begin after its client has disconnected.
func TestClientIsAskedAfterTheWriteDeadline(t *testing.T) {
	call := NewCall(t.Context(), func() bool {
		t.Error("the client was asked although the deadline has passed")
		return false
	})
	call.SetWriteDeadline(time.Now())
	if err := call.start(); !errors.Is(err, errWriteDeadline) {
		t.Errorf("start returned %v", err)
	}
}
