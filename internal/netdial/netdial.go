// Package netdial wraps dial functions. Retry repeats a dial after transient errors, for instance when this machine is
// out of ports or memory. Stagger reaches a peer that was unresponsive sooner than the SYN retransmissions of TCP
// would. Packages upstream and discovery use it. It keeps no state.
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
	// maxAttempts limits how often Retry calls the dial function.
	maxAttempts = 3
	// retryDelay is the wait before each retry. It is short compared with the latency of a request.
	retryDelay = time.Millisecond
)

// Func opens a connection, as net.Dialer.DialContext does.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// Retry returns a dial function that retries dial after a transient error. It stops after maxAttempts, after an
// error that is not transient, or when ctx ends, and then returns the last error of dial.
func Retry(dial Func) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		for attempts := 1; ; attempts++ {
			conn, err := dial(ctx, network, address)
			if err == nil || attempts == maxAttempts || !isTransient(err) || !waitBeforeRetry(ctx) {
				return conn, err
			}
		}
	}
}

// IsLocalFailure reports whether only this machine can have caused a dial to fail, according to socket(2) and
// connect(2). It returns false for an unreachable network or host, which the peer may have caused.
func IsLocalFailure(err error) bool {
	return syserror.IsShortage(err) || errors.Is(err, syscall.EADDRNOTAVAIL) ||
		errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, syscall.ENETDOWN)
}

// isTransient reports whether dialing again may succeed.
func isTransient(err error) bool {
	return IsLocalFailure(err) || errors.Is(err, syscall.ENETUNREACH) || errors.Is(err, syscall.EHOSTUNREACH)
}

// waitBeforeRetry waits for retryDelay and returns true, or returns false as soon as ctx ends.
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
