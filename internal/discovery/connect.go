package discovery

import (
	"context"
	"net"
	"net/http"

	"calicohinge/internal/netdial"
	"calicohinge/policy"
)

const (
	// connectInterval is how long a connection to the service may take before another one is tried. The
	// last call before a notification deadline has an eighth of it; two attempts have to fit.
	connectInterval = policy.NotificationDeadline / 12
	// connectLimit ends an attempt. A connection that takes longer would be of no use to a watch.
	connectLimit = 3 * connectInterval
	// maxConnectionsPerHost bounds the connections to the service: those of open calls, and those of
	// cancelled calls that are still being closed.
	maxConnectionsPerHost = maxOpenCalls + 2
)

// newTransport returns a transport whose connection attempts end with their call. net/http detaches them:
// an attempt to reach a machine that says nothing would outlast its call for as long as the system repeats
// SYNs, about two minutes, and count against the limit of connections meanwhile.
func newTransport(dial netdial.Func) *http.Transport {
	dial = netdial.Stagger(netdial.Repeat(dial), connectInterval, connectLimit)
	return &http.Transport{
		MaxConnsPerHost: maxConnectionsPerHost,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return dial(callContext(ctx), network, address)
		},
	}
}

// callKey is the key of the context of a call in the contexts derived from it.
type callKey struct{}

// withCall returns a context from which callContext finds ctx.
func withCall(ctx context.Context) context.Context { return context.WithValue(ctx, callKey{}, ctx) }

// callContext returns the context that a call began with, which ends with the call.
func callContext(ctx context.Context) context.Context {
	if call, ok := ctx.Value(callKey{}).(context.Context); ok {
		return call
	}
	return ctx
}
