package syserror

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

func TestErrorsAreClassified(t *testing.T) {
	wrapped := func(errno syscall.Errno) error {
		return fmt.Errorf("listen: %w", &net.OpError{Op: "listen", Err: os.NewSyscallError("socket", errno)})
	}
	for _, c := range []struct {
		err                 error
		shortage, transient bool
	}{
		{wrapped(syscall.EINTR), true, true},
		{wrapped(syscall.EMFILE), true, true},
		{wrapped(syscall.ENFILE), true, true},
		{wrapped(syscall.ENOBUFS), true, true},
		{wrapped(syscall.ENOMEM), true, true},
		{wrapped(syscall.EIO), false, true},
		{wrapped(syscall.EADDRNOTAVAIL), false, true},
		{wrapped(syscall.EADDRINUSE), false, false},
		{wrapped(syscall.ECONNREFUSED), false, false},
		{wrapped(syscall.ENOENT), false, false},
		{os.ErrDeadlineExceeded, false, false},
	} {
		if IsShortage(c.err) != c.shortage || IsTransient(c.err) != c.transient {
			t.Errorf("%v: shortage %v, transient %v", c.err, IsShortage(c.err), IsTransient(c.err))
		}
	}
}

func TestRetryEndsWithSuccessOrLastingFailure(t *testing.T) {
	for _, c := range []struct {
		name      string
		errors    []error // of the first calls; further calls succeed
		wantCalls int     // expected
		wantErr   bool    // expected of the last call
	}{
		{"success", nil, 1, false},
		{"momentary failures", []error{syscall.EMFILE, syscall.EIO}, 3, false},
		{"lasting failure", []error{syscall.EMFILE, syscall.ENOENT}, 2, true},
		{"too many", []error{
			syscall.EIO, syscall.EIO, syscall.EIO, syscall.EIO, syscall.EIO, syscall.EIO, syscall.EIO,
		}, maxAttempts, true},
	} {
		calls := 0
		err := Retry(func() error {
			calls++
			if calls <= len(c.errors) {
				return c.errors[calls-1]
			}
			return nil
		})
		if calls != c.wantCalls || (err != nil) != c.wantErr {
			t.Errorf("%s: %d calls, %v", c.name, calls, err)
		}
		if c.wantErr && !errors.Is(err, c.errors[calls-1]) {
			t.Errorf("%s: %v is not the last error", c.name, err)
		}
	}
}
