// Package syserror classifies errors of system calls and repeats operations that failed for a moment.
// Packages config, node and upstream use it. It keeps no state.
package syserror

import (
	"errors"
	"syscall"
	"time"
)

const (
	// maxTries is how often Retry calls an operation.
	maxTries = 6
	// firstPause precedes the second try; it doubles with each further one, up to 310 ms in all.
	firstPause = 10 * time.Millisecond
)

// IsShortage reports whether the system was out of a resource or interrupted the call: the same
// call may succeed a moment later, and its target is not at fault.
func IsShortage(err error) bool {
	return isAny(err, syscall.EINTR, syscall.EAGAIN, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM)
}

// IsMomentary reports whether the call may succeed a moment later: after a shortage, a failed access
// to a disk, or as long as the network of this machine is not up.
func IsMomentary(err error) bool {
	return IsShortage(err) || isAny(err, syscall.EIO, syscall.ESTALE, syscall.EADDRNOTAVAIL, syscall.ENETDOWN)
}

// isAny reports whether an error is one of the given ones of the system.
func isAny(err error, candidates ...syscall.Errno) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	for _, candidate := range candidates {
		if errno == candidate {
			return true
		}
	}
	return false
}

// Retry calls an operation until it succeeds or fails for good, with pauses between the calls. It
// returns the error of the last one.
func Retry(operation func() error) error {
	pause := firstPause
	for try := 1; ; try++ {
		err := operation()
		if err == nil || try == maxTries || !IsMomentary(err) {
			return err
		}
		time.Sleep(pause)
		pause *= 2
	}
}
