package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"calicohinge/internal/config"
)

const (
	// A node is killed killDeadlineExtra after the longest request deadline from SIGTERM on,
	// of which killDeadlineCap counts at most. It ends killDeadlineMargin before that.
	killDeadlineCap    = 3 * time.Second
	killDeadlineExtra  = 700 * time.Millisecond
	killDeadlineMargin = 200 * time.Millisecond

	// quietPeriod is how long clients are still assigned to a node that is not ready any
	// more, and how long no request must have come for the node to drain early.
	quietPeriod = 500 * time.Millisecond
	// quietPollInterval is how often a node that shuts down checks for the quiet period.
	quietPollInterval = 10 * time.Millisecond
	// drainPeriod is the last part of the grace period, in which clients are sent away.
	drainPeriod = 300 * time.Millisecond
	// terminationPeriod is the last part of the drain period, in which the requests that
	// are still active get their final responses.
	terminationPeriod = 50 * time.Millisecond
)

// shutdownGracePeriod returns how long a graceful shutdown may take. A request that is active
// for longer is completed at its end, as failed if necessary: the node would be killed under it.
func shutdownGracePeriod(cfg *config.Config) time.Duration {
	longest := time.Duration(0)
	for _, class := range cfg.Policy.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, killDeadlineCap) + killDeadlineExtra - killDeadlineMargin
}

// shutdown completes the accepted requests and closes the connections. It takes no longer
// than the grace period.
func (s *service) shutdown(ctx context.Context) error {
	gracePeriod := shutdownGracePeriod(s.cfg)
	began := time.Now()
	slog.Info("shutting down", "grace_period", gracePeriod)
	s.handler.shuttingDown.Store(true)
	s.serveUntilQuiet(began, gracePeriod-drainPeriod)
	return s.drain(ctx, began.Add(gracePeriod))
}

// serveUntilQuiet goes on serving until no requests come any more, for the given time at
// most: clients may have no other node to go to.
func (s *service) serveUntilQuiet(began time.Time, limit time.Duration) {
	for time.Since(began) < limit && s.handler.activeSince(began) {
		time.Sleep(quietPollInterval)
	}
}

// drain closes the clients' connections as they become idle, and the listener. It does not
// use http.Server.Shutdown, which drops requests that are just being read.
func (s *service) drain(ctx context.Context, deadline time.Time) error {
	s.handler.draining.Store(true)
	limit, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	s.parts.Go(func() { s.terminateAt(limit, deadline.Add(-terminationPeriod)) })
	// The listener is closed last: closed before, it would reset the connections in its
	// backlog, whose clients may have sent requests.
	s.conns.Drain(limit)
	_ = s.listener.Close() // Serve returns what came of it
	if err := <-s.serveResult; !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	s.conns.Drain(limit) // those that were accepted meanwhile
	return nil
}

// terminateAt completes all active requests at the given time, unless ctx ends before.
// Reading stops first, so that the loop still answers each request that was read.
func (s *service) terminateAt(ctx context.Context, at time.Time) {
	select {
	case <-time.After(time.Until(at)):
		s.conns.StopReading()
		s.loop.terminateAll()
	case <-ctx.Done():
	}
}
