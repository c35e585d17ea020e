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
	// connectTimeout ends an attempt. A connection that takes longer would be of no use to a watch.
	connectTimeout = 3 * connectInterval
	// maxConnectionsPerHost bounds the connections to the service: those of calls in flight, and those
	// of cancelled calls that are still being closed.
	maxConnectionsPerHost = maxInFlightCalls + 2
)

// newTransport returns a transport whose connection attempts end with their call. net/http detaches them:
// an attempt to reach an unresponsive machine would outlast its call for as long as the system repeats
// SYNs, about two minutes, and count against the limit of connections meanwhile.
func newTransport(dial netdial.Func) *http.Transport {
	dial = netdial.Stagger(netdial.Repeat(dial), connectInterval, connectTimeout)
	return &http.Transport{
		MaxConnsPerHost: maxConnectionsPerHost,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return dial(callContext(ctx), network, address)
		},
	}
}

// callContextKey is the key of the context of a call in the contexts derived from it.
type callContextKey struct{}

// withCallContext returns a context from which callContext finds ctx.
func withCallContext(ctx context.Context) context.Context {
	return context.WithValue(ctx, callContextKey{}, ctx)
}

// callContext returns the context that a call began with, which ends with the call.
func callContext(ctx context.Context) context.Context {
	if callCtx, ok := ctx.Value(callContextKey{}).(context.Context); ok {
		return callCtx
	}
	return ctx
}
