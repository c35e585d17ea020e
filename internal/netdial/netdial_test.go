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

// failingDialer is a dialer whose first attempts fail with a system error.
type failingDialer struct {
	net.Dialer
	failures    int // number of first attempts that fail
	syscallName string
	errno       syscall.Errno
	attempts    int // number of attempts so far
}

func (d *failingDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if d.attempts++; d.attempts <= d.failures {
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError(d.syscallName, d.errno)}
	}
	return d.DialContext(ctx, network, address)
}

// If this machine is out of sockets or ports for a moment, or the network is unreachable, a retry can open the
// connection. A refusal by the peer or a timeout is final.
func TestDialIsRetriedAfterATransientFailure(t *testing.T) {
	address := testkit.Listen(t).Addr().String()
	for _, c := range []struct {
		syscallName      string
		errno            syscall.Errno
		local, transient bool
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
		t.Run(fmt.Sprintf("%s %v", c.syscallName, c.errno), func(t *testing.T) {
			wantAttempts := 1
			if c.transient {
				wantAttempts = maxAttempts
			}
			recovering := &failingDialer{failures: maxAttempts - 1, syscallName: c.syscallName, errno: c.errno}
			conn, err := Retry(recovering.dial)(t.Context(), "tcp", address)
			if recovering.attempts != wantAttempts || (err == nil) != c.transient {
				t.Errorf("dial whose last attempt would succeed: got %d attempts, error %v; want %d, success %v",
					recovering.attempts, err, wantAttempts, c.transient)
			}
			if err == nil {
				_ = conn.Close() // nothing was sent on the connection
			}
			failing := &failingDialer{failures: maxAttempts, syscallName: c.syscallName, errno: c.errno}
			_, err = Retry(failing.dial)(t.Context(), "tcp", address)
			if !errors.Is(err, c.errno) || IsLocalFailure(err) != c.local {
				t.Errorf("dial whose attempts all fail: got error %v, local failure %v; want %v, %v",
					err, IsLocalFailure(err), c.errno, c.local)
			}
		})
	}
}

func TestDialIsNotRetriedAfterItsContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	failing := &failingDialer{failures: maxAttempts, syscallName: "socket", errno: syscall.ENFILE}
	_, err := Retry(failing.dial)(ctx, "tcp", "127.0.0.1:1")
	if !errors.Is(err, syscall.ENFILE) || failing.attempts != 1 {
		t.Errorf("dial with a done context: got error %v after %d attempts, want %v after 1",
			err, failing.attempts, syscall.ENFILE)
	}
}
