// Package syserror classifies errors of system calls and retries operations after temporary ones.
// Packages config, node, netdial and downstream call it. It keeps no state.
package syserror

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

const (
	// maxAttempts is how often Retry calls an operation.
	maxAttempts = 6
	// initialBackoff precedes the second attempt. The backoff doubles with each further one, up to
	// 310 ms in all.
	initialBackoff = 10 * time.Millisecond
)

// IsShortage reports whether the system was out of a resource or interrupted the call: the same
// call may succeed a moment later, and its target is not at fault.
func IsShortage(err error) bool {
	return isAny(err, syscall.EINTR, syscall.EAGAIN, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM)
}

// IsTransient reports whether the call may succeed a moment later: after a shortage, a failed access
// to a disk, or as long as the network of this machine is not up.
func IsTransient(err error) bool {
	return IsShortage(err) || isAny(err, syscall.EIO, syscall.ESTALE, syscall.EADDRNOTAVAIL, syscall.ENETDOWN)
}

// isAny reports whether an error is, or wraps, one of the candidates.
func isAny(err error, errnos ...syscall.Errno) bool {
	errno, ok := errors.AsType[syscall.Errno](err)
	return ok && slices.Contains(errnos, errno)
}

// Retry calls an operation until it succeeds or fails with an error that is not momentary, but
// maxAttempts times at most, with a backoff between the calls. It returns the last error.
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
