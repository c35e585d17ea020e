// Package discovery keeps a node's endpoint list up to date. It calls the discovery service over HTTP, and
// switches to another address of the service on request. It owns the connections to the service and tracks
// the generation of the list. It reports lists and failures to a Handler, which internal/node implements. It
// neither interprets endpoints nor selects servers.
//
// A Client has two modes. In push mode, it makes the first call on its own and retries failed calls with backoff. The
// first call with a cached list asks only whether that list is current, and is answered without a wait for changes.
// In polling mode, the first call after the start and each call after a failure wait for Client.RequestWatch;
// package policy decides when they are due.
//
// A failed call is never fatal: it is logged as "endpoint watch failed", the node keeps its list, and
// another call follows. The type follower documents the state machine that makes the calls, and the type
// inFlightCalls documents how each call ends.
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

// Handler receives the lists and failures of a Client. Its methods are called from the goroutine of Client.Run
// or from a goroutine that Run starts, but never concurrently.
type Handler interface {
	// UpdateEndpoints receives a snapshot, a delta, or the cached list.
	UpdateEndpoints(kind policy.UpdateKind, list endpoint.List)
	// Synced is called when the handler has the list of the service: after each response that leaves no doubt of it,
	// even if it has no endpoints or no changes. It gets the SentAt of the response.
	Synced(sentAt time.Time)
	// Connected is called when a call has a connection to the service. It may be late or omitted if the call returns soon.
	Connected()
	// WatchFailed is called after a failed call. In polling mode, the next call waits for RequestWatch.
	WatchFailed(failure WatchFailure)
}

// Config holds the parameters of a Client.
type Config struct {
	Address    string        // host and port of the discovery service
	Cached     endpoint.List // endpoint list to start with; may be empty
	Polling    bool          // whether the client is in polling mode; if not, it is in push mode
	DrainGrace time.Duration // how long after being notified of a drain a node may send attempts to the server
}

// Client follows the endpoint list. RequestWatch and SetAddress may be called while Run is active.
type Client struct {
	address        string // initial address of the service; follower.address is the current address
	cached         endpoint.List
	polling        bool
	maxBackoff     time.Duration
	watchRequests  chan struct{} // holds at most one request for a watch
	addressChanges chan string   // holds the latest address until Run receives it
	httpClient     *http.Client
}

// New returns a client. It makes no calls before Run.
func New(config Config) *Client {
	dialer := net.Dialer{Timeout: connectTimeout}
	return &Client{
		address:        config.Address,
		cached:         config.Cached,
		polling:        config.Polling,
		maxBackoff:     maxBackoffFor(config.DrainGrace),
		watchRequests:  make(chan struct{}, 1),
		addressChanges: make(chan string, 1),
		httpClient:     &http.Client{Transport: newTransport(dialer.DialContext)},
	}
}

// RequestWatch requests a watch in polling mode. It has no effect while a watch is active or already requested. It
// never blocks.
func (c *Client) RequestWatch() {
	select {
	case c.watchRequests <- struct{}{}:
	default: // a request is already pending
	}
}

// SetAddress changes the address of the discovery service. It must not be called concurrently with itself. It
// never blocks.
func (c *Client) SetAddress(addr string) {
	select {
	case <-c.addressChanges: // discard an address that Run has not received yet
	default:
	}
	c.addressChanges <- addr
}

// Run reports the cached list and then follows the endpoint list until ctx is done. After a change of address
// it requests a snapshot from the new address. Until the snapshot arrives, the node keeps its list and applies
// lists returned by calls still in flight to previous addresses.
func (c *Client) Run(ctx context.Context, handler Handler) {
	c.reportCached(handler)
	calls := newInFlightCalls(c.send)
	defer calls.close()
	current := newFollower(c, handler, calls, c.address)
	current.haveList = len(c.cached.Endpoints) > 0
	current.generation = c.cached.Generation
	current.unconfirmed = current.haveList && !c.polling
	for ctx.Err() == nil {
		address, changed := c.followUntilAddressChange(ctx, current)
		if !changed {
			return
		}
		slog.Info("discovery address changed", "discovery_addr", address)
		c.httpClient.CloseIdleConnections() // no more calls are made to the previous address
		current = current.moveTo(address, time.Now())
	}
}

// reportCached reports the cached list. In push mode it skips an empty list.
func (c *Client) reportCached(handler Handler) {
	slog.Info("cached endpoint list", "generation", c.cached.Generation, "endpoints", len(c.cached.Endpoints))
	if len(c.cached.Endpoints) > 0 || c.polling { // in polling mode, package policy requests a watch after the update
		handler.UpdateEndpoints(policy.UpdateCached, c.cached)
	}
}

// followUntilAddressChange runs the follower until the address changes or ctx is done, and returns once the
// follower has stopped. It returns the new address, or false if ctx is done.
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
