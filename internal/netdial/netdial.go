// Package netdial wraps a function that opens connections. Repeat retries after transient errors of this
// machine, for instance a lack of ports or memory. Stagger opens connections to an unresponsive peer faster
// than TCP would. Packages upstream and discovery use it. It keeps no state.
package netdial

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"calicohinge/internal/syserror"
)

const (
	// maxAttempts bounds the attempts to open a connection that Repeat makes.
	maxAttempts = 3
	// retryDelay precedes each retry. It is short beside the latency of a request.
	retryDelay = time.Millisecond
)

// Func opens a connection, as net.Dialer.DialContext does.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// Repeat returns a function that retries dial after a transient error. It returns the last error of dial after
// maxAttempts, after an error that is not transient, or when ctx ends.
func Repeat(dial Func) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		for attempts := 1; ; attempts++ {
			conn, err := dial(ctx, network, address)
			if err == nil || attempts == maxAttempts || !isTransient(err) || !waitBeforeRetry(ctx) {
				return conn, err
			}
		}
	}
}

// IsLocalFailure reports whether only this machine can be the cause of a failed dial, according to socket(2) and
// connect(2). An unreachable address does not count: the peer may be the cause.
func IsLocalFailure(err error) bool {
	return syserror.IsShortage(err) || errors.Is(err, syscall.EADDRNOTAVAIL) ||
		errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, syscall.ENETDOWN)
}

// isTransient reports whether a retry may succeed.
func isTransient(err error) bool {
	return IsLocalFailure(err) || errors.Is(err, syscall.ENETUNREACH) || errors.Is(err, syscall.EHOSTUNREACH)
}

// waitBeforeRetry returns true after retryDelay, or false as soon as ctx ends.
func waitBeforeRetry(ctx context.Context) bool {
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
