// Package discovery keeps a node's endpoint list up to date: it calls the discovery service over HTTP,
// repeats failed calls with a backoff, and follows the list at another address when that changes. It
// owns the connections to the service and the generation of the list. It reports lists and failures to
// a Handler, which internal/node implements, and neither interprets endpoints nor selects servers.
//
// A failed call ends nothing: it is logged as "endpoint watch failed", the node keeps its list, and
// another call follows. The states between two calls and their events are in the doc comment of follower,
// the end of each call in that of inFlightCalls.
package discovery

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

// Handler receives what a Client learns. Its methods are called from the goroutine
// of Client.Run or one that it starts, one at a time.
type Handler interface {
	// UpdateEndpoints receives an endpoint list, or changes to the previous one.
	UpdateEndpoints(kind policy.UpdateKind, endpoints []endpoint.Endpoint)
	// Synced is called after each list, also one without endpoints or changes.
	Synced()
	// WatchFailed is called in polling mode after a failed call. The node counts as notified at the
	// given time of what the call has missed. The next call waits for RequestWatch.
	WatchFailed(notifiedAt time.Time)
}

// Config parameterizes a Client.
type Config struct {
	Address    string        // host and port of the discovery service
	Cached     endpoint.List // the cached list, possibly empty
	Poll       bool          // polling mode: after a failure, the next call waits for RequestWatch
	DrainGrace time.Duration // how long a draining server still serves, from the notification on
}

// Client follows the endpoint list. RequestWatch and SetAddress may be called while Run is active.
type Client struct {
	address        string // the initial one; the follower has the present one
	cached         endpoint.List
	polling        bool
	maxBackoff     time.Duration
	watchRequests  chan struct{} // holds at most one
	addressChanges chan string   // holds the latest one only
	httpClient     *http.Client
}

// New makes a client. It sends nothing before Run.
func New(config Config) *Client {
	dialer := net.Dialer{Timeout: connectTimeout}
	return &Client{
		address:        config.Address,
		cached:         config.Cached,
		polling:        config.Poll,
		maxBackoff:     maxBackoffFor(config.DrainGrace),
		watchRequests:  make(chan struct{}, 1),
		addressChanges: make(chan string, 1),
		httpClient:     &http.Client{Transport: newTransport(dialer.DialContext)},
	}
}

// RequestWatch starts a watch in polling mode, unless one is active. It never blocks.
func (c *Client) RequestWatch() {
	select {
	case c.watchRequests <- struct{}{}:
	default: // a request is pending
	}
}

// SetAddress changes the address of the discovery service. It has one caller at a time and never blocks.
func (c *Client) SetAddress(addr string) {
	select {
	case <-c.addressChanges: // only the latest address counts
	default:
	}
	c.addressChanges <- addr
}

// Run reports the cached list and follows the list until the context ends. After a change of the address it
// requests the complete list from the new address. Until that list arrives, the node uses the list that it
// has, and lists that calls in flight to the previous address still return.
func (c *Client) Run(ctx context.Context, handler Handler) {
	c.reportCached(handler)
	calls := newInFlightCalls(c.send)
	defer calls.close()
	current := newFollower(c, handler, calls, c.address)
	current.haveList = len(c.cached.Endpoints) > 0
	current.generation = c.cached.Generation
	for ctx.Err() == nil {
		address, changed := c.followUntilAddressChange(ctx, current)
		if !changed {
			return
		}
		slog.Info("discovery address changed", "discovery_addr", address)
		c.httpClient.CloseIdleConnections() // no further call goes to the previous address
		current = current.moveTo(address, time.Now())
	}
}

// reportCached reports the list that the node starts with.
func (c *Client) reportCached(handler Handler) {
	if len(c.cached.Endpoints) > 0 {
		handler.UpdateEndpoints(policy.UpdateCached, c.cached.Endpoints)
		handler.Synced()
	} else if c.polling {
		handler.UpdateEndpoints(policy.UpdateCached, nil) // package policy then requests a watch
	}
}

// followUntilAddressChange runs the follower until the address changes or the context ends, and returns once
// the follower has stopped. It returns the new address, or false if the context has ended.
func (c *Client) followUntilAddressChange(ctx context.Context, current *follower) (string, bool) {
	followCtx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { current.run(followCtx) })
	defer running.Wait()
	defer cancel()
	select {
	case address := <-c.addressChanges:
		return address, true
	case <-ctx.Done():
		return "", false
	}
}
