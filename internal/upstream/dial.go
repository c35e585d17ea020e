package upstream

import (
	"context"
	"errors"
	"net"

	"calicohinge/policy"
)

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
	conn, err := p.dial(ctx, reserved.server)
	if err != nil {
		p.cancelReservation()
		return nil, err
	}
	return conn, nil
}

// dial opens a connection for which there is a reservation.
func (p *Pool) dial(ctx context.Context, target *server) (*connection, error) {
	dialer := net.Dialer{Timeout: p.config.ConnectTimeout, KeepAlive: -1}
	socket, err := dialer.DialContext(ctx, "tcp", target.address)
	if err != nil {
		return nil, err
	}
	return newConnection(socket, target), nil
}

// acquireStatus is the status of an attempt whose acquire failed with err.
func acquireStatus(err error) policy.Status {
	if errors.Is(err, errPoolExhausted) {
		return policy.NotSent // no server is at fault
	}
	return policy.ConnectFailed
}
