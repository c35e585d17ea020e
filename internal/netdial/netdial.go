// Package netdial opens connections on a machine whose system calls may fail for a moment, for instance
// as it is short of ports or memory. Packages upstream and discovery use it. It keeps no state.
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
	// maxDials is how often a connection is tried if the system refuses at once.
	maxDials = 3
	// dialPause precedes another try. It is short beside the latency of a request.
	dialPause = time.Millisecond
)

// Func opens a connection, as net.Dialer.DialContext does.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// Repeat returns a function that calls dial again if it fails for a moment.
func Repeat(dial Func) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		for dials := 1; ; dials++ {
			conn, err := dial(ctx, network, address)
			if err == nil || dials == maxDials || !isMomentary(err) || !pause(ctx) {
				return conn, err
			}
		}
	}
}

// IsLocalFailure reports whether a dial failed for a reason that lies with this machine alone, by what
// socket(2) and connect(2) document. That an address is unreachable may be the peer's failure.
func IsLocalFailure(err error) bool {
	return syserror.IsShortage(err) || errors.Is(err, syscall.EADDRNOTAVAIL) ||
		errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, syscall.ENETDOWN)
}

// isMomentary reports whether another dial may succeed at once.
func isMomentary(err error) bool {
	return IsLocalFailure(err) || errors.Is(err, syscall.ENETUNREACH) || errors.Is(err, syscall.EHOSTUNREACH)
}

// pause waits for dialPause, and returns false if ctx ends before.
func pause(ctx context.Context) bool {
	timer := time.NewTimer(dialPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
