package netdial

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"

	"calicohinge/internal/testkit"
)

// failingDials returns a dial function whose first calls fail with an error of the system,
// and a counter of its calls.
func failingDials(failures int, callName string, errno syscall.Errno) (dial Func, calls *int) {
	var dialer net.Dialer
	calls = new(int)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if *calls++; *calls <= failures {
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError(callName, errno)}
		}
		return dialer.DialContext(ctx, network, address)
	}, calls
}

// The system may refuse a socket or a connection for a moment: the connection is opened all
// the same. A refusal by the peer is final.
func TestDialIsRepeatedAfterMomentaryFailure(t *testing.T) {
	address := testkit.Listen(t).Addr().String()
	for _, c := range []struct {
		callName         string
		errno            syscall.Errno
		local, momentary bool
	}{
		{"socket", syscall.EMFILE, true, true},
		{"socket", syscall.ENFILE, true, true},
		{"socket", syscall.ENOBUFS, true, true},
		{"socket", syscall.ENOMEM, true, true},
		{"connect", syscall.EADDRNOTAVAIL, true, true},
		{"connect", syscall.EADDRINUSE, true, true},
		{"connect", syscall.EAGAIN, true, true},
		{"connect", syscall.ENETDOWN, true, true},
		{"connect", syscall.ENETUNREACH, false, true},
		{"connect", syscall.EHOSTUNREACH, false, true},
		{"connect", syscall.ECONNREFUSED, false, false},
		{"connect", syscall.ETIMEDOUT, false, false},
	} {
		t.Run(fmt.Sprintf("%s %v", c.callName, c.errno), func(t *testing.T) {
			wantCalls := 1
			if c.momentary {
				wantCalls = maxDials
			}
			dial, calls := failingDials(maxDials-1, c.callName, c.errno)
			conn, err := Repeat(dial)(t.Context(), "tcp", address)
			if *calls != wantCalls || (err == nil) != c.momentary {
				t.Errorf("%d dials, %v", *calls, err)
			}
			if err == nil {
				_ = conn.Close() // nothing was sent on it
			}
			dial, _ = failingDials(maxDials, c.callName, c.errno)
			_, err = Repeat(dial)(t.Context(), "tcp", address)
			if !errors.Is(err, c.errno) || IsLocalFailure(err) != c.local {
				t.Errorf("%v, local %v", err, IsLocalFailure(err))
			}
		})
	}
}

func TestDialIsNotRepeatedAfterItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	dial, calls := failingDials(maxDials, "socket", syscall.ENFILE)
	if _, err := Repeat(dial)(ctx, "tcp", "127.0.0.1:1"); !errors.Is(err, syscall.ENFILE) || *calls != 1 {
		t.Errorf("%v after %d dials", err, *calls)
	}
}
