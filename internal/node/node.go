// Package node is the load balancer on real sockets. It owns a node's parts from start to
// graceful shutdown: the HTTP handler for clients, and the event loop that drives package
// policy and carries out its actions over packages upstream and discovery. It makes no
// balancing decision of its own, and only the loop's goroutine calls the policy.Balancer.
// The balancer program is its caller.
//
// The types event, requestState and attemptState say what may happen while a node serves,
// shutdown.run in which order it stops. If the listener fails, the node logs "accepting
// connections failed" and shuts down gracefully.
package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"

	"calicohinge/internal/config"
	"calicohinge/internal/discovery"
	"calicohinge/internal/downstream"
	"calicohinge/internal/syserror"
	"calicohinge/internal/upstream"
)

const (
	baseDescriptors = 24 // standard streams, runtime, listener, discovery
	// upstreamShare is the share of the other descriptors that connections to servers get. Clients get more, as
	// their connections may be unused or idle.
	upstreamShare = 0.45
	// reserveDivisor divides the other descriptors: one part is for clients over the limit, which are rejected.
	reserveDivisor = 20
)

// Node is one load balancer. Create it with Listen.
type Node struct {
	cfg       *config.Config
	listener  net.Listener
	discovery *discovery.Client
}

// Listen opens the node's listener. Clients that connect wait until Run.
func Listen(cfg *config.Config) (*Node, error) {
	var listener net.Listener
	err := syserror.Retry(func() error {
		var err error
		listener, err = net.Listen("tcp", cfg.Listen)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	client := discovery.New(discovery.Config{
		Address: cfg.Discovery, Cached: cfg.CachedList, Poll: cfg.Policy.PollEndpoints, DrainGrace: cfg.DrainGrace,
	})
	return &Node{cfg: cfg, listener: listener, discovery: client}, nil
}

// Addr returns the address at which the node listens.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

// SetDiscoveryAddress makes the node follow the endpoint list at another address. It must not be
// called concurrently.
func (n *Node) SetDiscoveryAddress(addr string) { n.discovery.SetAddress(addr) }

// Run serves until the context ends or no connection can be accepted any more, then shuts down
// gracefully: it completes the requests that were accepted. It returns an error if serving failed.
func (n *Node) Run(ctx context.Context) error {
	defer func() { _ = n.listener.Close() }() // closed before, unless Run failed
	// The node's parts outlive ctx, whose end only begins the shutdown.
	backgroundCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s, err := newService(backgroundCtx, n)
	if err != nil {
		cancel()
		return err
	}
	defer s.stop(cancel)
	s.start(backgroundCtx)
	slog.Info("serving", "name", n.cfg.Name, "addr", n.Addr().String())
	serveErr := s.awaitShutdown(ctx)
	shutdownErr := s.shutdown(backgroundCtx)
	if serveErr != nil {
		return serveErr
	}
	return shutdownErr
}

// service owns the parts of a running node and their goroutines.
type service struct {
	cfg         *config.Config
	listener    *downstream.Listener // admits clients within the limits
	discovery   *discovery.Client
	pool        *upstream.Pool
	loop        *loop
	conns       *downstream.Conns
	handler     *handler
	server      *http.Server
	serveResult chan error     // gets what server.Serve returned
	background  sync.WaitGroup // goroutines that end with the context of the parts
}

func newService(ctx context.Context, n *Node) (*service, error) {
	limits := divideDescriptors(n.cfg.Limits.Sockets)
	pool := upstream.NewPool(upstreamConfig(n.cfg, limits.upstream))
	loop, err := newLoop(ctx, n.cfg, pool, n.discovery)
	if err != nil {
		return nil, err
	}
	conns := downstream.NewConns(downstreamConfig(limits.downstream, limits.reserve))
	handler := newHandler(n.cfg, loop, conns)
	return &service{
		cfg:         n.cfg,
		listener:    conns.Listener(n.listener),
		discovery:   n.discovery,
		pool:        pool,
		loop:        loop,
		conns:       conns,
		handler:     handler,
		server:      handler.server(),
		serveResult: make(chan error, 1),
	}, nil
}

// start starts the parts' goroutines, which end with ctx, and that of the HTTP server.
func (s *service) start(ctx context.Context) {
	s.background.Go(s.loop.run)
	s.background.Go(func() { s.pool.RetireIdle(ctx) })
	s.background.Go(func() { s.discovery.Run(ctx, s.loop.endpoints) })
	go func() { s.serveResult <- s.server.Serve(s.listener) }()
}

// awaitShutdown returns nil when the context ends, and an error if serving ends before.
func (s *service) awaitShutdown(ctx context.Context) error {
	select {
	case err := <-s.serveResult:
		slog.Error("accepting connections failed", "err", err)
		s.serveResult <- err // shutdown waits for it
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
		return nil
	}
}

// stop closes the remaining connections, cancels the parts and waits for their goroutines.
// Serve has returned by then; the goroutines of handlers return with their connections and the
// loop. After a shutdown each request has its final response, unless its client does not read it.
func (s *service) stop(cancelBackground context.CancelFunc) {
	_ = s.server.Close() // the listener may be closed before
	cancelBackground()
	s.background.Wait()
}

// connectionLimits are the largest numbers of connections that may be open.
type connectionLimits struct {
	upstream   int // to servers
	downstream int // from clients
	reserve    int // from clients over the limit
}

// divideDescriptors divides the file descriptors of a node between its connections.
func divideDescriptors(descriptors int) connectionLimits {
	available := descriptors - baseDescriptors
	upstreamLimit := int(upstreamShare * float64(available))
	reserve := available / reserveDivisor
	return connectionLimits{upstream: upstreamLimit, downstream: available - upstreamLimit - reserve, reserve: reserve}
}

func upstreamConfig(cfg *config.Config, maxOpen int) upstream.Config {
	return upstream.Config{
		MaxOpen: maxOpen, IdleTimeout: cfg.IdleTimeout, ConnectTimeout: cfg.ConnectTimeout,
		SettleDelay: upstream.DefaultSettleDelay,
	}
}

func downstreamConfig(maxOpen, reserve int) downstream.Config {
	return downstream.Config{
		MaxOpen: maxOpen, Reserve: reserve, MaxReadAhead: maxHeaderBytes + maxBodyBytes,
		ReadTimeout: readTimeout, LingerTimeout: downstream.DefaultLingerTimeout,
	}
}
