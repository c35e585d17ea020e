package discovery

import (
	"context"
	"net"
	"net/http"

	"calicohinge/internal/netdial"
	"calicohinge/policy"
)

const (
	// connectInterval is the delay between the starts of two attempts to open a connection. The last call
	// before a notification deadline starts when an eighth of that deadline is left. This is one and a half
	// intervals, enough for two attempts to start.
	connectInterval = policy.NotificationDeadline / 12
	// connectTimeout is the maximum duration of an attempt to open a connection. A connection that takes longer
	// to open is of no use for a watch.
	connectTimeout = 3 * connectInterval
	// maxConnectionsPerHost is the maximum number of connections to the service: one for each call in flight, and
	// two for cancelled calls, whose connections may still be closing.
	maxConnectionsPerHost = maxInFlightCalls + 2
)

// newTransport returns a transport that cancels an attempt to open a connection when its call ends. By default,
// net/http lets the attempt continue. An attempt to reach an unresponsive host would then last about two minutes,
// while the operating system retransmits SYNs, and would count against maxConnectionsPerHost during that time.
func newTransport(dial netdial.Func) *http.Transport {
	dial = netdial.Stagger(netdial.Retry(dial), connectInterval, connectTimeout)
	return &http.Transport{
		MaxConnsPerHost: maxConnectionsPerHost,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return dial(callContext(ctx), network, address)
		},
	}
}

// callContextKey is the context key under which contexts derived from a call's context hold that context.
type callContextKey struct{}

// withCallContext returns a context derived from ctx for which callContext returns ctx.
func withCallContext(ctx context.Context) context.Context {
	return context.WithValue(ctx, callContextKey{}, ctx)
}

// callContext returns the context that the call was started with, which is done when the call ends.
func callContext(ctx context.Context) context.Context {
	if callCtx, ok := ctx.Value(callContextKey{}).(context.Context); ok {
		return callCtx
	}
	return ctx
}
