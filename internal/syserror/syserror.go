// Package syserror classifies errors of system calls and retries operations after transient ones. Packages config,
// node, netdial and downstream use it. It keeps no state.
package syserror

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

const (
	// maxAttempts limits how often Retry calls an operation.
	maxAttempts = 6
	// initialBackoff is the backoff before the second attempt. The backoff doubles with each further attempt. All
	// backoffs of one operation together take 310 ms at most.
	initialBackoff = 10 * time.Millisecond
)

// IsShortage reports whether the system was out of a resource or interrupted the call. The same call may succeed a
// moment later, and its target is not at fault.
func IsShortage(err error) bool {
	return isAny(err, syscall.EINTR, syscall.EAGAIN, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM)
}

// IsTransient reports whether the call may succeed a moment later: after a shortage or a failed disk access, or
// while the network of this machine is not up yet.
func IsTransient(err error) bool {
	return IsShortage(err) || isAny(err, syscall.EIO, syscall.ESTALE, syscall.EADDRNOTAVAIL, syscall.ENETDOWN)
}

// isAny reports whether err is or wraps one of errnos.
func isAny(err error, errnos ...syscall.Errno) bool {
	errno, ok := errors.AsType[syscall.Errno](err)
	return ok && slices.Contains(errnos, errno)
}

// Retry calls an operation until it succeeds or fails with an error that is not transient, but at most maxAttempts
// times, with an exponential backoff between the calls. It returns the last error.
func Retry(operation func() error) error {
	backoff := initialBackoff
	for attempt := 1; ; attempt++ {
		err := operation()
		if err == nil || attempt == maxAttempts || !IsTransient(err) {
			return err
		}
		time.Sleep(backoff)
		backoff *= 2
	}
}
