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
			t.Errorf("error %v: got IsShortage() = %v, IsTransient() = %v; want %v, %v",
				c.err, IsShortage(c.err), IsTransient(c.err), c.shortage, c.transient)
		}
	}
}

func TestRetryStopsOnSuccessOrPermanentFailure(t *testing.T) {
	for _, c := range []struct {
		name      string
		errors    []error // returned by the first calls; further calls succeed
		wantCalls int
		wantErr   bool // whether the last call fails
	}{
		{"success", nil, 1, false},
		{"transient failures", []error{syscall.EMFILE, syscall.EIO}, 3, false},
		{"permanent failure", []error{syscall.EMFILE, syscall.ENOENT}, 2, true},
		{"too many transient failures", []error{
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
			t.Errorf("Retry with %s: got %d calls, error %v; want %d calls, failure %v",
				c.name, calls, err, c.wantCalls, c.wantErr)
		}
		if c.wantErr && !errors.Is(err, c.errors[calls-1]) {
			t.Errorf("Retry with %s: got error %v, want %v, the error of the last call", c.name, err, c.errors[calls-1])
		}
	}
}
