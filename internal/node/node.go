// Package node runs one load balancer node on real sockets, from its start to the end of its
// graceful shutdown. Package downstream manages the client connections. An HTTP handler validates
// the requests that arrive on them and submits them to an event loop. The loop passes them to
// package policy and carries out the decisions over packages upstream and discovery. Package node
// makes no balancing decision of its own, and only the loop's goroutine calls the policy.Balancer.
// cmd/balancer is the package's only caller.
//
// The types that implement event list what the loop handles. requestState and attemptState document
// the state transitions of requests and attempts, and shutdown.run documents the order of the shutdown
// steps. If the listener fails, the node logs "accepting connections failed" and shuts down gracefully.
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
	// baseDescriptors is the number of file descriptors set aside for the standard streams, the Go runtime, the
	// listener and discovery.
	baseDescriptors = 24
	// upstreamShare is the fraction of the remaining descriptors that connections to servers may use. The larger part
	// is for client connections, because some of them are unused or idle.
	upstreamShare = 0.45
	// reserveDivisor determines the number of descriptors that are reserved for client connections over the limit,
	// whose requests are rejected: the remaining descriptors divided by reserveDivisor.
	reserveDivisor = 20
	// minClientConns is the smallest limit of client connections, however little memory is configured.
	minClientConns = 16
)

// Node is one load balancer node. Listen creates it, and Run serves requests.
type Node struct {
	cfg       *config.Config
	listener  net.Listener
	discovery *discovery.Client
}

// Listen creates a node and opens its listener. Connections stay in the accept queue until Run is called.
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
		Address: cfg.Discovery, Cached: cfg.CachedList, Polling: cfg.Policy.PollEndpoints, DrainGrace: cfg.DrainGrace,
	})
	return &Node{cfg: cfg, listener: listener, discovery: client}, nil
}

// Addr returns the address on which the node listens.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

// SetDiscoveryAddress makes the node follow the endpoint list of the discovery service at addr. It must not be
// called concurrently with itself.
func (n *Node) SetDiscoveryAddress(addr string) { n.discovery.SetAddress(addr) }

// Run serves requests until ctx ends or the listener fails. It then shuts down gracefully, completing all accepted
// requests. It returns an error if the listener failed.
func (n *Node) Run(ctx context.Context) error {
	defer func() { _ = n.listener.Close() }() // already closed, unless Run failed early
	// The background goroutines must outlive ctx, since the end of ctx only starts the shutdown.
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

// service holds the components of a running node and their goroutines.
type service struct {
	cfg         *config.Config
	listener    *downstream.Listener // accepts client connections within the limits
	discovery   *discovery.Client
	pool        *upstream.Pool
	loop        *loop
	conns       *downstream.Conns
	handler     *handler
	server      *http.Server
	serveResult chan error     // receives the result of server.Serve
	background  sync.WaitGroup // goroutines that end with the context passed to start
}

func newService(ctx context.Context, n *Node) (*service, error) {
	limits := divideDescriptors(n.cfg.Limits.Sockets)
	memory := planMemory(n.cfg, limits)
	limits = limits.withClientConns(memory.clientConns)
	poolConfig := upstreamConfig(n.cfg, limits.upstream)
	poolConfig.ResponseMemory = memory.responses
	pool := upstream.NewPool(poolConfig)
	loop, err := newLoop(ctx, n.cfg, pool, n.discovery)
	if err != nil {
		return nil, err
	}
	connsConfig := downstreamConfig(limits.downstream, limits.reserve)
	connsConfig.ReceiveMemory = memory.receiving
	conns := downstream.NewConns(connsConfig)
	handler := newHandler(n.cfg, loop, conns)
	handler.parser.bodyMemory = memory.bodies
	return &service{
		cfg:         n.cfg,
		listener:    conns.NewListener(n.listener),
		discovery:   n.discovery,
		pool:        pool,
		loop:        loop,
		conns:       conns,
		handler:     handler,
		server:      handler.server(),
		serveResult: make(chan error, 1),
	}, nil
}

// start starts the background goroutines, which end with ctx, and the HTTP server.
func (s *service) start(ctx context.Context) {
	s.background.Go(s.loop.run)
	s.background.Go(func() { s.pool.EnforceIdleTimeout(ctx) })
	s.background.Go(func() { s.discovery.Run(ctx, s.loop.endpoints) })
	s.background.Go(func() { newDelayReporter(s.handler, s.conns).run(ctx) })
	go func() { s.serveResult <- s.server.Serve(s.listener) }()
}

// awaitShutdown waits until ctx ends and returns nil, or returns an error if the listener fails first.
func (s *service) awaitShutdown(ctx context.Context) error {
	select {
	case err := <-s.serveResult:
		slog.Error("accepting connections failed", "err", err)
		s.serveResult <- err // stopAccepting receives it
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
		return nil
	}
}

// stop closes the remaining connections, cancels the background goroutines and waits for them. server.Serve must have
// returned. Handler goroutines are not waited for: they return once their connections are closed and the loop has
// ended. After a graceful shutdown, each request has its final response unless its client does not read it.
func (s *service) stop(cancelBackground context.CancelFunc) {
	_ = s.server.Close() // fails if the listener is already closed
	cancelBackground()
	s.background.Wait()
	s.pool.CloseIdle()
}

// connectionLimits are the maximum numbers of open connections.
type connectionLimits struct {
	upstream   int // connections to servers
	downstream int // client connections whose requests are served
	reserve    int // further client connections, whose requests are rejected
}

// divideDescriptors divides the file descriptors of a node among its upstream and downstream connections.
func divideDescriptors(descriptors int) connectionLimits {
	available := descriptors - baseDescriptors
	upstreamLimit := int(upstreamShare * float64(available))
	reserve := available / reserveDivisor
	return connectionLimits{upstream: upstreamLimit, downstream: available - upstreamLimit - reserve, reserve: reserve}
}

// withClientConns returns limits with at most the given number of client connections, those of the reserve included.
// Connections to servers are limited to what the attempts of these clients need.
func (l connectionLimits) withClientConns(clientConns int) connectionLimits {
	if l.downstream+l.reserve <= clientConns {
		return l
	}
	reserve := clientConns * l.reserve / (l.downstream + l.reserve)
	return connectionLimits{
		upstream:   min(l.upstream, upstreamConnsPerClient*clientConns),
		downstream: clientConns - reserve,
		reserve:    reserve,
	}
}

func upstreamConfig(cfg *config.Config, maxOpen int) upstream.Config {
	return upstream.Config{
		MaxOpen: maxOpen, IdleTimeout: cfg.IdleTimeout, ConnectTimeout: cfg.ConnectTimeout,
		ReuseDelay: upstream.DefaultReuseDelay,
	}
}

func downstreamConfig(maxOpen, reserve int) downstream.Config {
	return downstream.Config{
		MaxOpen: maxOpen, ReservedConns: reserve, MaxReadAheadBytes: maxHeaderBytes + maxBodyBytes,
		ReadTimeout: readTimeout, LingerTimeout: downstream.DefaultLingerTimeout,
	}
}
