package upstream

import (
	"context"
	"errors"

	"calicohinge/internal/netdial"
	"calicohinge/policy"
)

// acquire returns an idle or a new connection to a server. Its error is errUnknownServer,
// errPoolExhausted, or the error of ctx or of the dialer.
func (p *Pool) acquire(ctx context.Context, id policy.ServerID) (*connection, error) {
	reserved, err := p.reserve(id)
	if err != nil {
		return nil, err
	}
	if reserved.idle != nil {
		if err := p.settle(ctx, reserved); err != nil {
			return nil, err
		}
		return reserved.idle, nil
	}
	conn, err := p.connect(ctx, reserved.server)
	if err != nil {
		p.cancelReservation()
		return nil, err
	}
	return conn, nil
}

// connect opens a connection that was reserved, within the connect timeout.
func (p *Pool) connect(ctx context.Context, target *server) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.ConnectTimeout)
	defer cancel()
	socket, err := p.dial(ctx, "tcp", target.address)
	if err != nil {
		return nil, err
	}
	return newConnection(socket, target), nil
}

// acquireStatus returns the status of an attempt for which acquire returned err.
func acquireStatus(err error) policy.Status {
	if errors.Is(err, errPoolExhausted) || netdial.IsLocalFailure(err) {
		return policy.StatusNotSent // this node has caused the failure, not the server
	}
	return policy.StatusConnectFailed
}
