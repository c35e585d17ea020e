package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"calicohinge/internal/syserror"
	"calicohinge/policy"
)

const (
	// maxDials is how often a connection is tried if the system refuses at once, for
	// instance as it is short of ports or memory for a moment.
	maxDials = 3
	// dialPause precedes another try. It is short beside the latency of a request.
	dialPause = time.Millisecond
)

// dialFunc opens a connection, as net.Dialer.DialContext does.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// acquire returns a connection to a server, an idle or a new one. It returns
// errUnknownServer, errPoolExhausted or the error of the dialer.
func (p *Pool) acquire(ctx context.Context, id policy.ServerID) (*connection, error) {
	reserved, err := p.reserve(id)
	if err != nil {
		return nil, err
	}
	if reserved.idle != nil {
		return reserved.idle, nil
	}
	conn, err := p.connect(ctx, reserved.server)
	if err != nil {
		p.cancelReservation()
		return nil, err
	}
	return conn, nil
}

// connect opens a connection for which there is a reservation, within the connect timeout.
func (p *Pool) connect(ctx context.Context, target *server) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.ConnectTimeout)
	defer cancel()
	for dials := 1; ; dials++ {
		socket, err := p.dial(ctx, "tcp", target.address)
		if err == nil {
			return newConnection(socket, target), nil
		}
		if dials == maxDials || !failsForAMoment(err) || !pause(ctx, dialPause) {
			return nil, err
		}
	}
}

// pause waits, and returns false if ctx ends before.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// failsForAMoment reports whether another dial may succeed at once: the system has not
// tried to reach the server.
func failsForAMoment(err error) bool {
	return isLocalFailure(err) || errors.Is(err, syscall.ENETUNREACH) || errors.Is(err, syscall.EHOSTUNREACH)
}

// isLocalFailure reports whether a dial failed for a reason that lies with this machine
// alone, by what socket(2) and connect(2) document. That an address is unreachable may be
// the server's failure.
func isLocalFailure(err error) bool {
	return syserror.IsShortage(err) || errors.Is(err, syscall.EADDRNOTAVAIL) ||
		errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, syscall.ENETDOWN)
}

// acquireStatus is the status of an attempt whose acquire failed with err.
func acquireStatus(err error) policy.Status {
	if errors.Is(err, errPoolExhausted) || isLocalFailure(err) {
		return policy.NotSent // no server is at fault
	}
	return policy.ConnectFailed
}
