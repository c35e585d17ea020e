package discovery

import (
	"context"
	"net"
	"net/http"

	"calicohinge/internal/netdial"
	"calicohinge/policy"
)

const (
	// connectInterval is how long a connection to the service may take before another attempt begins. The
	// last call before a notification deadline has an eighth of the deadline; two attempts begin in that.
	connectInterval = policy.NotificationDeadline / 12
	// connectTimeout ends an attempt to connect. A connection that takes longer is of no use to a watch.
	connectTimeout = 3 * connectInterval
	// maxConnectionsPerHost bounds the connections to the service: those of the calls in flight, and those
	// of cancelled calls that are still being closed.
	maxConnectionsPerHost = maxInFlightCalls + 2
)

// newTransport returns a transport whose connection attempts end with their call. By itself, net/http lets an
// attempt outlast its call. An attempt to reach an unresponsive machine would last for about two minutes, as
// long as the system repeats SYNs, and would count against maxConnectionsPerHost meanwhile.
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
